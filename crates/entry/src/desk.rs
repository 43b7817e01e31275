//! The interface for operators, over HTTP with JSON.

use std::sync::Arc;

use serde::Serialize;
use trillium::{async_trait, Conn, Handler, KnownHeaderName};

use snipemast_callers::ask::read_bearer_key;
use snipemast_callers::problem::{Problem, ProblemKind};
use snipemast_config::{Patch, Verdict, WallTime};
use snipemast_control::machine::{ConfigMachine, HistoryEntry, HistoryError, Submission};
use snipemast_core::prelude::*;
use snipemast_operators::answer::MemberLine;
use snipemast_operators::{
    authorize, Author, Denied, DryRunAnswer, HistoryLine, Route, RouteError, StatusReport,
    VerdictAnswer,
};
use snipemast_requests::Fingerprint;
use snipemast_wire::ConfigSink;

use crate::control::{self, ControlError};
use crate::shared::Shared;

/// The result of a request.
type Result<T> = std::result::Result<T, Problem>;

/// The largest patch, in bytes.
const MAX_PATCH_BYTES: u64 = 8 << 20;
/// The retry delay given to an operator when the control hosts are unreachable.
const RETRY_AFTER: Span = Span::from_secs(2);
/// The most versions in one answer about the history.
const MAX_HISTORY_LINES: usize = 1_024;

/// A request that is suspected of crashing backend servers, with the number of crashes.
#[derive(Debug, Serialize)]
struct Suspect {
    request: String,
    crashes: usize,
}

/// Whether the request was suspected before it was cleared.
#[derive(Debug, Serialize)]
struct Lifted {
    lifted: bool,
}

/// Handles operators' requests.
#[derive(Debug)]
pub struct OperatorApi {
    shared: Arc<Shared>,
}

impl OperatorApi {
    /// Creates the handler over the shared state.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn serve(&self, conn: &mut Conn) -> Result<Answer> {
        let method = conn.method().as_str();
        let route = Route::read(method, conn.path(), conn.querystring()).map_err(route_problem)?;
        let author = self.authorize(conn, &route)?;
        match route {
            Route::Submit => self.submit(conn, author).await,
            Route::DryRun => self.dry_run(conn).await,
            Route::Config { at: None } => Answer::ok(self.shared.config().as_ref()),
            Route::Config { at: Some(version) } => Answer::ok(
                self.with_machine(|m| m.history().config_at(version))?
                    .as_ref(),
            ),
            Route::Diff { from, to } => {
                Answer::ok(&self.with_machine(|m| m.history().diff(from, to))?)
            }
            Route::Back { to } => Answer::ok(&self.revert_patch(to)?),
            Route::History { last } => Answer::ok(&self.history(last)?),
            Route::Status => Answer::ok(&self.status()),
            Route::Suspects => Answer::ok(&self.suspects()),
            Route::Lift { request } => {
                let lifted = self.shared.keys.lift(&self.shared, request).await;
                Answer::ok(&Lifted { lifted })
            }
        }
    }

    fn suspects(&self) -> Vec<Suspect> {
        let suspects = self.shared.keys.suspects(self.shared.clock.now());
        let line = |(fingerprint, crashes): (Fingerprint, usize)| Suspect {
            request: fingerprint.to_string(),
            crashes,
        };
        suspects.into_iter().map(line).collect()
    }

    fn authorize(&self, conn: &Conn, route: &Route) -> Result<Author> {
        let key = read_bearer_key(conn)?;
        let control = self.shared.settings.control.as_ref();
        let first = control.and_then(|c| c.operator.as_ref());
        authorize(&self.shared.config(), first, &key, route.role()).map_err(denied_problem)
    }

    async fn submit(&self, conn: &mut Conn, author: Author) -> Result<Answer> {
        let patch = match read_patch(conn).await? {
            Ok(patch) => patch,
            Err(answer) => return Answer::verdict(answer),
        };
        let submission = Submission {
            patch,
            author: author.operator(),
            time: WallTime::now(),
        };
        let verdict = control::submit(&self.shared, &submission).await;
        Answer::verdict(verdict.map_err(control_problem)?.into())
    }

    /// Answers with the verdict and the change that a patch would have on the version in force here.
    async fn dry_run(&self, conn: &mut Conn) -> Result<Answer> {
        let patch = match read_patch(conn).await? {
            Ok(patch) => patch,
            Err(verdict) => {
                return Answer::ok(&DryRunAnswer {
                    verdict,
                    change: None,
                });
            }
        };
        let config = self.shared.config();
        let dry = match patch.prepare(&config) {
            Ok(change) => DryRunAnswer {
                verdict: Verdict::Accepted {
                    version: change.config.version,
                }
                .into(),
                change: serde_json::to_value(&change.delta).ok(),
            },
            Err(refusal) => DryRunAnswer {
                verdict: refusal.into(),
                change: None,
            },
        };
        Answer::ok(&dry)
    }

    /// Returns the patch that restores the content of an earlier version.
    fn revert_patch(&self, to: Version) -> Result<Patch> {
        let (now, then) =
            self.with_machine(|m| Ok((Arc::clone(m.config()), m.history().config_at(to)?)))?;
        let id = format!("back-to-{to}-from-{}", now.version);
        let id = id
            .parse()
            .map_err(|e| Problem::new(ProblemKind::Failed, e))?;
        let reason = format!("back to the content of version {to}");
        Ok(Patch::between(id, reason, &now, &then))
    }

    fn history(&self, last: usize) -> Result<Vec<HistoryLine>> {
        self.with_machine(|machine| {
            let newest = machine.history().entries().rev();
            Ok(newest
                .take(last.min(MAX_HISTORY_LINES))
                .map(history_line)
                .collect())
        })
    }

    /// Reads the state machine, which only control hosts have.
    fn with_machine<T>(
        &self,
        read: impl FnOnce(&ConfigMachine) -> std::result::Result<T, HistoryError>,
    ) -> Result<T> {
        let not_control_host = || {
            let detail = "only control hosts know other versions than the one in force";
            Problem::new(ProblemKind::Unavailable, detail)
        };
        let result = self.shared.control().map(|control| control.read(read));
        let unknown = |e| Problem::new(ProblemKind::NotFound, e);
        result.ok_or_else(not_control_host)?.map_err(unknown)
    }

    fn status(&self) -> StatusReport {
        let shared = &self.shared;
        let (standing, _) = shared.versions();
        let link = shared.distributor.link();
        let members = shared.registry.members();
        let member = |m: &Arc<crate::registry::Member>| MemberLine {
            agent: m.announce.agent.to_string(),
            zone: m.announce.zone.clone(),
            server: m.announce.info.server.clone(),
            offers: m.announce.info.offers.clone(),
            draining: m.announce.draining,
            load: m.announce.load,
        };
        StatusReport {
            census: shared.distributor.census(&standing),
            standing,
            linked: link.linked,
            fence: link.fence,
            running: shared.running(),
            draining: shared.is_draining(),
            members: members.iter().map(member).collect(),
            limits: shared.admission.status(),
        }
    }
}

#[async_trait]
impl Handler for OperatorApi {
    async fn run(&self, mut conn: Conn) -> Conn {
        match self.serve(&mut conn).await {
            Ok(Answer { status, body }) => conn
                .with_status(status)
                .with_response_header(KnownHeaderName::ContentType, "application/json")
                .with_body(body)
                .halt(),
            Err(problem) => problem.answer(conn),
        }
    }
}

/// An answer in JSON.
struct Answer {
    status: u16,
    body: String,
}

impl Answer {
    fn new(status: u16, document: &impl Serialize) -> Result<Self> {
        let failed = |e| Problem::new(ProblemKind::Failed, e);
        let body = serde_json::to_string(document).map_err(failed)?;
        Ok(Self { status, body })
    }

    fn ok(document: &impl Serialize) -> Result<Self> {
        Self::new(200, document)
    }

    fn verdict(verdict: VerdictAnswer) -> Result<Self> {
        Self::new(verdict.status(), &verdict)
    }
}

/// Reads a patch, or returns the verdict on a patch with faults.
async fn read_patch(conn: &mut Conn) -> Result<std::result::Result<Patch, VerdictAnswer>> {
    let body = conn.request_body().await.with_max_len(MAX_PATCH_BYTES);
    let too_large = |e| Problem::new(ProblemKind::TooLarge, e);
    let bytes = body.read_bytes().await.map_err(too_large)?;
    Ok(Patch::parse(&bytes).map_err(VerdictAnswer::from))
}

fn history_line(entry: &HistoryEntry) -> HistoryLine {
    HistoryLine {
        version: entry.version,
        patch: entry.patch.clone(),
        author: entry.author.clone(),
        time: entry.time.to_string(),
        reason: entry.reason.clone(),
        touched: entry.delta.paths(),
    }
}

fn route_problem(error: RouteError) -> Problem {
    let kind = match error {
        RouteError::NotFound => ProblemKind::NotFound,
        RouteError::Method => ProblemKind::Method,
        RouteError::Parameter(_) => ProblemKind::Malformed,
    };
    Problem::new(kind, error)
}

fn denied_problem(denied: Denied) -> Problem {
    Problem::new(ProblemKind::Unauthorized, denied)
}

fn control_problem(error: ControlError) -> Problem {
    let outcome = match error {
        ControlError::Minority | ControlError::Unreachable => Outcome::NotRun,
        ControlError::Unknown => Outcome::Unknown,
    };
    Problem::new(ProblemKind::Unavailable, error)
        .with_outcome(outcome)
        .with_retry(RETRY_AFTER)
}
