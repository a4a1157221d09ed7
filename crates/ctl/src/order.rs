//! Orders to endpoints: submitted, withdrawn and shown.

use awc::http::StatusCode;
use woodgap_core::admin::{
    AppliedOrder, ApplyOrder, ORDERS_PATH, OrderConflict, OrderHolder, Ordered, Orders,
};
use woodgap_core::orders::{Kept, Order, Scope, Wanted};
use woodgap_settings::order;

use crate::client::{Answer, Call, Client};
use crate::error::Error;
use crate::fleet::word;
use crate::options::{Change, OrderCommand};
use crate::refusal::refused;
use crate::table;
use crate::terminal::Terminal;

/// Carries out one of the order commands.
///
/// # Errors
///
/// That of the file or of the call.
pub async fn run(
    client: &Client,
    command: &OrderCommand,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    match command {
        OrderCommand::Apply { change, file } => {
            let order = order::load(file)?;
            submit(client, order, change, terminal).await
        }
        OrderCommand::Withdraw { change, scope } => {
            let order = Order {
                scope: scope.clone(),
                wanted: None,
            };
            submit(client, order, change, terminal).await
        }
        OrderCommand::Show { json } => show(client, *json, terminal).await,
    }
}

/// Sends a change under its identity until an entry has settled it.
async fn submit(
    client: &Client,
    order: Order,
    change: &Change,
    terminal: &mut Terminal<'_>,
) -> Result<(), Error> {
    let drawn = || format!("{:032x}", rand::random::<u128>());
    let apply = ApplyOrder {
        change: change.identity.clone().unwrap_or_else(drawn),
        order,
        expect: change.expect_version,
    };
    let key = apply.order.scope.to_string();
    let call = Call::post(ORDERS_PATH, &apply);
    let answer = client.insist(&call).await;
    let answer = answer.map_err(|attempts| Error::unsettled(&key, &apply.change, attempts))?;
    match answer.status {
        StatusCode::CONFLICT => Err(conflict(&answer, key, terminal)),
        StatusCode::UNPROCESSABLE_ENTITY => Err(refused(&answer, key, terminal)),
        _ => {
            let applied: AppliedOrder = answer.good("such call: is this a woodgap entry?")?;
            let before = if applied.already {
                ", accepted before"
            } else {
                ""
            };
            let AppliedOrder { version, .. } = applied;
            let change = &apply.change;
            terminal.print(&format!(
                "{key}: version {version}, change {change}{before}"
            ));
            Ok(())
        }
    }
}

fn conflict(answer: &Answer, key: String, terminal: &mut Terminal<'_>) -> Error {
    let conflict: OrderConflict = match answer.decode() {
        Ok(conflict) => conflict,
        Err(_) => return answer.failure(),
    };
    if let Some(current) = &conflict.current {
        terminal.tell(&format!("in force: {}", wanted_of(current)));
    }
    Error::Conflict {
        key,
        version: conflict.version,
    }
}

async fn show(client: &Client, json: bool, terminal: &mut Terminal<'_>) -> Result<(), Error> {
    let answer = client.ask(&Call::get(ORDERS_PATH.to_owned())).await;
    let orders: Orders = answer.map_err(Error::Unreachable)?.good("list of orders")?;
    if json {
        terminal.print(&serde_json::to_string(&orders).unwrap_or_default());
        return Ok(());
    }
    let rows: Vec<_> = orders.orders.iter().map(order_row).collect();
    let header = ["ORDER", "VERSION", "OPERATOR", "WANTED"];
    print_table(terminal, &table::lines(header, &rows));
    let rows: Vec<_> = orders.endpoints.iter().map(endpoint_row).collect();
    let header = ["ENDPOINT", "STATE", "IN FORCE", "ORDER", "CHECKS FENCING"];
    print_table(terminal, &table::lines(header, &rows));
    let rows: Vec<_> = orders.holders.iter().map(holder_row).collect();
    let header = ["DATA CENTRE", "HOLDER", "FENCE"];
    print_table(terminal, &table::lines(header, &rows));
    Ok(())
}

fn print_table(terminal: &mut Terminal<'_>, lines: &[String]) {
    for line in lines {
        terminal.print(line);
    }
    terminal.print("");
}

fn order_row(kept: &Kept) -> [String; 4] {
    [
        kept.order.scope.to_string(),
        kept.version.to_string(),
        kept.operator.clone(),
        wanted_of(kept),
    ]
}

fn wanted_of(kept: &Kept) -> String {
    let wanted = kept.order.wanted.as_ref();
    wanted.map_or_else(|| "withdrawn".to_owned(), in_words)
}

fn in_words(wanted: &Wanted) -> String {
    format!("{}: {}", wanted.role, wanted.models.join(", "))
}

fn endpoint_row(ordered: &Ordered) -> [String; 5] {
    let in_force = ordered.in_force.as_ref();
    [
        ordered.endpoint.to_string(),
        word(&ordered.state),
        in_force.map_or_else(|| "-".to_owned(), in_words),
        ordered.order.clone(),
        if ordered.checks_fencing { "yes" } else { "no" }.to_owned(),
    ]
}

fn holder_row(holder: &OrderHolder) -> [String; 3] {
    let entry = holder.entry.as_ref().map(ToString::to_string);
    [
        holder.data_centre.to_string(),
        entry.unwrap_or_else(|| "-".to_owned()),
        holder.fence.0.to_string(),
    ]
}

/// Reads the key of an order.
///
/// # Errors
///
/// What is expected, for the operator.
pub fn scope(text: &str) -> Result<Scope, String> {
    let name = woodgap_settings::is_name;
    match text.split_once('/') {
        Some(("endpoint", endpoint)) if name(endpoint) => Ok(Scope::Endpoint(endpoint.into())),
        Some(("pool", pool)) => match pool.split_once('/') {
            Some((data_centre, target)) if name(data_centre) && !target.is_empty() => {
                Ok(Scope::Pool(woodgap_core::name::Pool {
                    target: target.into(),
                    data_centre: data_centre.into(),
                }))
            }
            _ => Err(EXPECTED.to_owned()),
        },
        _ => Err(EXPECTED.to_owned()),
    }
}

/// The forms of an order's key.
const EXPECTED: &str = "KEY: expected endpoint/NAME or pool/DATA_CENTRE/TARGET";
