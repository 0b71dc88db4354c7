//! The requests of users: submissions, status queries and cancellations.

use super::*;

impl ApiServer {
    /// Takes in a submission; `at_ms` is the time of day.
    pub fn submit(
        &mut self,
        client: Client,
        body: &[u8],
        types: &[MachineType],
        at_ms: u64,
        now: Time,
    ) {
        match users::parse_submission(body) {
            Submission::Unidentified(wrong) => self.respond(client, problem(400, &wrong)),
            Submission::Invalid(id, wrong) => {
                let otherwise = problem(400, &wrong);
                self.begin(client, id, Intent::Repeat { otherwise }, now);
            }
            Submission::Valid(spec) => {
                let id = spec.id;
                let intent = match self.can_ever_run(&spec, types) {
                    Some(Ok(())) => {
                        let mut record = JobRecord {
                            spec: *spec,
                            submitted_at_ms: at_ms,
                            tasks_per_record: self.tasks_per_record,
                        };
                        record.remove_unavailable_machine_types(self.max_value, types);
                        Intent::Submit(Box::new(record))
                    }
                    Some(Err(why)) => Intent::Repeat {
                        otherwise: problem(422, why),
                    },
                    None => Intent::Repeat {
                        otherwise: unavailable(),
                    },
                };
                self.begin(client, id, intent, now);
            }
        }
    }

    /// `None` while that can't be told, as the machine types are not known.
    pub(super) fn can_ever_run(
        &self,
        spec: &JobSpec,
        types: &[MachineType],
    ) -> Option<Result<(), &'static str>> {
        let Some(team) = self.teams.iter().find(|t| t.name == spec.team) else {
            return Some(Err("unknown team"));
        };
        let (cpus, gpus) = team.limits();
        // The replicas of a service all run at once.
        let at_once = if spec.is_service() {
            spec.task_count as f64
        } else {
            1.0
        };
        if spec.cpus.0 * at_once > cpus || spec.gpus.0 * at_once > gpus {
            return Some(Err("it needs more than the team's limit"));
        }
        if types.is_empty() {
            return None;
        }
        if types.iter().any(|t| scoring::is_type_suitable(spec, t)) {
            Some(Ok(()))
        } else {
            Some(Err("a task fits no allowed machine type"))
        }
    }

    /// Takes in a status query.
    pub fn query_status(&mut self, client: Client, id: &str, now: Time) {
        match JobId::parse(id) {
            Some(id) => self.begin(client, id, Intent::Poll, now),
            None => self.respond(client, problem(404, "no such job")),
        }
    }

    /// Takes in a cancellation.
    pub fn cancel(&mut self, client: Client, id: &str, now: Time) {
        match JobId::parse(id) {
            Some(id) => self.begin(client, id, Intent::Cancel, now),
            None => self.respond(client, problem(404, "no such job")),
        }
    }

    pub(super) fn begin(&mut self, client: Client, job: JobId, intent: Intent, now: Time) {
        if let Some(over) = self.finals.get(&job).copied() {
            self.respond(client, Self::final_answer(job, over));
            return;
        }
        if self.open.len() >= MAX_OPEN {
            self.respond(client, Response::retry_later(503, 2));
            return;
        }
        self.next += 1;
        let id = ApiRequestId(self.next);
        let submits = matches!(intent, Intent::Submit(_));
        let limit = if matches!(intent, Intent::Poll) {
            POLL_LIMIT
        } else {
            SUBMIT_LIMIT
        };
        let until = now.after(limit);
        self.open.insert(
            id,
            Open {
                client,
                job,
                intent,
                stage: Stage::Queued,
                until,
                repeated: false,
            },
        );
        let stage = if submits {
            Stage::Queued
        } else if limit == POLL_LIMIT {
            Stage::Comparing
        } else {
            Stage::ReadingLive
        };
        self.enter(id, stage);
    }
}
