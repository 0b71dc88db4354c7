//! Requests of users as they arrive: submissions, status queries and cancellations.

use super::*;

impl ApiServer {
    /// Handles a submission. `wall_clock_ms` is the time in milliseconds since the Unix epoch.
    pub fn submit(
        &mut self,
        client: Client,
        body: &[u8],
        machine_types: &[MachineType],
        wall_clock_ms: u64,
        now: Time,
    ) {
        match users::parse_submission(body) {
            Submission::Unidentified(error) => self.respond(client, error_response(400, &error)),
            Submission::Invalid(job, error) => {
                let rejection = error_response(400, &error);
                self.open_request(client, job, Operation::RejectUnlessKnown { rejection }, now);
            }
            Submission::Valid(spec) => {
                let job = spec.id;
                let operation = match self.check_feasibility(&spec, machine_types) {
                    Some(Ok(())) => {
                        let mut record = JobRecord {
                            spec: *spec,
                            submitted_at_ms: wall_clock_ms,
                            tasks_per_record: self.tasks_per_record,
                        };
                        record
                            .remove_unavailable_machine_types(self.max_value_bytes, machine_types);
                        Operation::Submit(Box::new(record))
                    }
                    Some(Err(reason)) => Operation::RejectUnlessKnown {
                        rejection: error_response(422, reason),
                    },
                    None => Operation::RejectUnlessKnown {
                        rejection: unavailable_response(),
                    },
                };
                self.open_request(client, job, operation, now);
            }
        }
    }

    /// Checks whether the team's limit and some machine type allow the job to run at all. `None` if the machine types
    /// are not known yet.
    pub(super) fn check_feasibility(
        &self,
        spec: &JobSpec,
        machine_types: &[MachineType],
    ) -> Option<Result<(), &'static str>> {
        let Some(team) = self.teams.iter().find(|t| t.name == spec.team) else {
            return Some(Err("unknown team"));
        };
        let (cpu_limit, gpu_limit) = team.limits();
        // The replicas of a service all run at once.
        let concurrent_tasks = if spec.is_service() {
            spec.task_count as f64
        } else {
            1.0
        };
        if spec.cpus.0 * concurrent_tasks > cpu_limit || spec.gpus.0 * concurrent_tasks > gpu_limit
        {
            return Some(Err("it needs more than the team's limit"));
        }
        if machine_types.is_empty() {
            return None;
        }
        if machine_types
            .iter()
            .any(|machine_type| scoring::is_type_suitable(spec, machine_type))
        {
            Some(Ok(()))
        } else {
            Some(Err("a task fits no allowed machine type"))
        }
    }

    /// Handles a status query.
    pub fn query_status(&mut self, client: Client, id: &str, now: Time) {
        match JobId::parse(id) {
            Some(job) => self.open_request(client, job, Operation::QueryStatus, now),
            None => self.respond(client, error_response(404, "no such job")),
        }
    }

    /// Handles a cancellation.
    pub fn cancel(&mut self, client: Client, id: &str, now: Time) {
        match JobId::parse(id) {
            Some(job) => self.open_request(client, job, Operation::Cancel, now),
            None => self.respond(client, error_response(404, "no such job")),
        }
    }

    /// Opens a request and sends what its operation needs first. A job whose outcome is cached is answered at once.
    pub(super) fn open_request(
        &mut self,
        client: Client,
        job: JobId,
        operation: Operation,
        now: Time,
    ) {
        if let Some(outcome) = self.cached_outcomes.get(&job).copied() {
            self.respond(client, Self::outcome_response(job, outcome));
            return;
        }
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            self.respond(client, Response::retry_later(503, 2));
            return;
        }
        self.last_request_number += 1;
        let id = ApiRequestId(self.last_request_number);
        let is_submission = matches!(operation, Operation::Submit(_));
        let timeout = if matches!(operation, Operation::QueryStatus) {
            STATUS_QUERY_TIMEOUT
        } else {
            SUBMISSION_TIMEOUT
        };
        let deadline = now.after(timeout);
        self.open_requests.insert(
            id,
            OpenRequest {
                client,
                job,
                operation,
                stage: Stage::Batching,
                deadline,
                has_repeated_lost: false,
            },
        );
        let stage = if is_submission {
            Stage::Batching
        } else if timeout == STATUS_QUERY_TIMEOUT {
            Stage::CheckingVersion
        } else {
            Stage::ReadingJobRecord
        };
        self.enter_stage(id, stage);
    }
}
