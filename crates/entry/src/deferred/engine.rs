//! Runs jobs by the way that all requests go, and gathers their answers.

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use woodgap_core::clock::Millis;
use woodgap_core::config::catalog::{Class, Workspace};
use woodgap_core::deferred::{self, Job, Outcome};
use woodgap_core::verdict::Verdict;

use crate::caller::answer;
use crate::deferred::Runner;
use crate::request::call::{Form, Model};
use crate::request::run::{self, Worker};
use crate::request::{Call, Code, Head, Problem, Received, Request, Sink};
use crate::shared::Shared;

/// Runs jobs as requests of this entry.
pub struct Engine {
    worker: Worker,
}

impl Engine {
    /// Runs jobs with this thread's means.
    pub fn new(worker: Worker) -> Self {
        Self { worker }
    }

    async fn answer(&self, job: &Job, body: Bytes) -> Result<Vec<u8>, Problem> {
        let shared = &self.worker.shared;
        let head = head(shared, job, body);
        let shape = answer::Shape {
            form: form(job.form),
            id: head.id,
            model: job.target.to_string(),
            shared: shared.clone(),
        };
        let (sink, mut source) = Sink::new(self.worker.caller_timeout());
        let request = Request::<Received>::new(head);
        let running = run::run_deferred(self.worker.clone(), request, sink);
        let ((), gathered) = tokio::join!(running, answer::gather(&mut source, &shape));
        let text = serde_json::to_vec(&gathered?);
        text.map_err(|error| Problem::new(Code::BadAnswer, Verdict::Ran, error.to_string()))
    }
}

impl Runner for Engine {
    fn run<'a>(&'a self, job: &'a Job, body: Bytes) -> LocalBoxFuture<'a, Outcome> {
        Box::pin(async move {
            match self.answer(job, body).await {
                Ok(answer) => Outcome::Answer(answer),
                Err(problem) => outcome(problem),
            }
        })
    }
}

/// What a run without an answer comes to.
fn outcome(problem: Problem) -> Outcome {
    let code = problem.code.as_str().to_owned();
    match problem.code {
        Code::Overloaded
        | Code::NoEndpoint
        | Code::Stopping
        | Code::NotReady
        | Code::PlatformOut
            if problem.verdict == Verdict::NotRun =>
        {
            Outcome::Refused
        }
        // The entry ended under it: it may have run, and is none of the request's faults.
        Code::EndpointFailed | Code::Stopping => Outcome::Broken {
            code,
            message: problem.message,
        },
        _ => Outcome::Failed {
            code,
            verdict: problem.verdict,
            message: problem.message,
        },
    }
}

fn form(form: deferred::Form) -> Form {
    match form {
        deferred::Form::Chat => Form::Chat,
        deferred::Form::Completion => Form::Completion,
    }
}

/// The job as a request. The workspace's present tier and class count, since a
/// changed configuration takes hold of what waits, too; those that were recorded
/// do where the workspace has lost the class.
fn head(shared: &Shared, job: &Job, body: Bytes) -> Head {
    let catalog = shared.in_force.catalog();
    let workspace = catalog
        .as_ref()
        .and_then(|catalog| catalog.workspace(job.key.workspace.as_str()));
    let class = workspace.and_then(|workspace| workspace.classes.get(&job.class));
    let since = Since::new(shared.clock.now(), shared.clock.unix(), job.created);
    Head {
        id: shared.next_request(),
        workspace: job.key.workspace.clone(),
        tier: workspace.map_or(job.tier, |workspace: &std::sync::Arc<Workspace>| {
            workspace.tier
        }),
        class: job.class.clone(),
        weight: class.map_or(job.weight, |class: &Class| class.weight),
        target: job.target.clone(),
        arrived: since.arrived,
        latency: class.map_or(job.latency, |class| class.target) - since.before,
        measure: class.map_or(job.measure, |class| class.measure),
        repeatable: job.repeatable,
        prefix: job.prefix,
        identity: 0,
        call: Call::Model(Model {
            form: form(job.form),
            body,
        }),
    }
}

/// When a job came, on the clock of an entry that may be younger than the job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Since {
    /// When it came, or the clock's start.
    arrived: Millis,
    /// What it had waited before the clock's start.
    before: Millis,
}

impl Since {
    fn new(now: Millis, unix: Millis, created: Millis) -> Self {
        let age = unix - created;
        let arrived = now - age;
        Self {
            arrived,
            before: age - (now - arrived),
        }
    }
}

#[cfg(test)]
mod tests;
