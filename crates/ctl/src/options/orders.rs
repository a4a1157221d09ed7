//! The command line of `woodgap-ctl order`.

use std::path::PathBuf;

use bpaf::{Parser, construct, positional};

use super::{Change, Command, OrderCommand, connection, expect_version, identity, json};
use crate::{exit, order};

/// The parser of all order commands.
pub fn parser() -> impl Parser<Command> {
    let apply = apply();
    let withdraw = withdraw();
    let show = show();
    construct!([apply, withdraw, show])
        .to_options()
        .descr("Orders to endpoints: which models they hold, and their role")
        .footer(exit::HELP)
        .command("order")
        .help("Submit, withdraw and show orders to endpoints")
}

fn command(
    parser: impl Parser<Command> + 'static,
    name: &'static str,
    description: &'static str,
) -> impl Parser<Command> {
    let options = parser.to_options().descr(description).footer(exit::HELP);
    options.command(name).help(description)
}

fn change() -> impl Parser<Change> {
    let identity = identity();
    let expect_version = expect_version();
    construct!(Change {
        identity,
        expect_version,
    })
}

fn apply() -> impl Parser<Command> {
    let connection = connection();
    let change = change();
    let file = positional::<PathBuf>("FILE").help("An order in JSON with comments");
    let command_of = construct!(OrderCommand::Apply { change, file });
    command(both(connection, command_of), "apply", "Submit an order")
}

fn withdraw() -> impl Parser<Command> {
    let connection = connection();
    let change = change();
    let scope = positional::<String>("KEY")
        .help("The order, as endpoint/NAME or pool/DATA_CENTRE/TARGET")
        .parse(|text| order::scope(&text));
    let command_of = construct!(OrderCommand::Withdraw { change, scope });
    command(
        both(connection, command_of),
        "withdraw",
        "Withdraw an order; the endpoints stay as they are",
    )
}

fn show() -> impl Parser<Command> {
    let connection = connection();
    let json = json();
    let command_of = construct!(OrderCommand::Show { json });
    command(
        both(connection, command_of),
        "show",
        "Show the orders, and how far the endpoints have come",
    )
}

fn both(
    connection: impl Parser<super::Connection>,
    command: impl Parser<OrderCommand>,
) -> impl Parser<Command> {
    construct!(Command::Order {
        connection,
        command,
    })
}
