//! Invariants of a cluster, and assertions on it.

use std::collections::BTreeMap;

use lichencrank_quota::{AdmissionId, AdmissionRequest, Discrepancy, QuotaEvent, ResourceVector};

use super::{client_name, team, Cluster};

impl Cluster {
    /// Fails the test, and prints the state of all clients, the records and the trace.
    pub(crate) fn fail(&self, message: &str) -> ! {
        let ledger = self.ledger();
        for client in &self.clients {
            println!("{client:?}");
        }
        println!(
            "{:#?}\n{:?}\n{:?}",
            ledger.teams, ledger.allowances, ledger.pool
        );
        panic!("{message}\n{}", self.trace.join("\n"));
    }

    /// Audits the current records in the store.
    pub(super) fn audit_store(&self) {
        let mut found = self.ledger().audit();
        if self.is_excess_allowed {
            found.retain(|discrepancy| {
                !matches!(
                    discrepancy,
                    Discrepancy::LimitExceeded { .. } | Discrepancy::GuaranteeViolated { .. }
                )
            });
        }
        let found: Vec<String> = found.iter().map(ToString::to_string).collect();
        assert!(found.is_empty(), "{found:#?}\n{}", self.trace.join("\n"));
    }

    /// Checks an event and records it: work must start only once, and only with a charge by that client.
    pub(super) fn on_event(&mut self, client: usize, event: &QuotaEvent) {
        match event {
            QuotaEvent::Admitted(id) => {
                let ledger = self.ledger();
                let charge = ledger.charges.get(id);
                if charge.is_none_or(|charge| charge.client != client_name(client)) {
                    self.fail(&format!("{id} starts without a charge: {charge:?}"));
                }
                if !self.started.insert(id.clone()) {
                    self.fail(&format!("{id} starts twice"));
                }
                self.running.insert(id.clone());
                self.add_answer(id, event);
            }
            QuotaEvent::Recovered(id) => {
                if self.started.insert(id.clone()) {
                    self.running.insert(id.clone());
                }
                self.add_answer(id, event);
            }
            QuotaEvent::AlreadyAdmitted { id, .. }
            | QuotaEvent::AlreadyCompleted(id)
            | QuotaEvent::Rejected { id, .. }
            | QuotaEvent::Cancelled(id) => self.add_answer(id, event),
            QuotaEvent::Revoked(_)
            | QuotaEvent::Released(_)
            | QuotaEvent::NotFound(_)
            | QuotaEvent::PolicyApplied
            | QuotaEvent::Reclaimed { .. }
            | QuotaEvent::NotReclaimed { .. } => {}
        }
    }

    fn add_answer(&mut self, id: &AdmissionId, event: &QuotaEvent) {
        let answers = self.answers.entry(id.clone()).or_default();
        answers.push(event.clone());
    }

    /// Number of admissions that clients reported as admitted.
    pub(crate) fn admitted_count(&self) -> usize {
        let events = self.events.iter();
        let admitted = events.filter(|(_, event)| matches!(event, QuotaEvent::Admitted(_)));
        admitted.count()
    }

    /// Asserts that the team's charges add up to that many CPUs.
    pub(crate) fn assert_used(&self, name: &str, cpus: u64) {
        let used = self.ledger().used(&team(name));
        let expected = ResourceVector::from_cpus(cpus);
        assert_eq!(used, expected, "used by team {name}");
    }

    /// Asserts that a client's charges to the team add up to that many CPUs.
    pub(crate) fn assert_charged(&self, name: &str, client: usize, cpus: u64) {
        let charged = self.ledger().charged(&team(name), &client_name(client));
        let expected = ResourceVector::from_cpus(cpus);
        assert_eq!(charged, expected, "charged to team {name} by {client}");
    }

    /// Asserts that all totals agree, and that all limits and guarantees hold.
    pub(crate) fn assert_consistent(&self) {
        assert_eq!(self.ledger().audit(), []);
    }

    /// Asserts that this many admissions are running.
    pub(crate) fn assert_running_count(&self, expected: usize) {
        let count = self.running.len();
        assert_eq!(count, expected, "running: {:?}", self.running);
    }

    /// Asserts that every request was answered, that nothing is charged any more, and that each admission that ran
    /// is completed once.
    pub(super) fn assert_all_completed(&self, requests: &BTreeMap<AdmissionId, AdmissionRequest>) {
        let ledger = self.ledger();
        if !ledger.charges.is_empty() {
            self.fail(&format!("still charged: {:?}", ledger.charges));
        }
        let mut released = ResourceVector::ZERO;
        for id in &self.started {
            let completed = ledger.completed.get(&id.requester_id());
            if !completed.is_some_and(|record| record.sequences.contains(id.sequence)) {
                self.fail(&format!("{id} ran but is not completed"));
            }
            released += requests[id].usage;
        }
        let completed = ledger.completed.values();
        let total_released: ResourceVector = completed.map(|record| record.total_released).sum();
        assert_eq!(total_released, released, "sum of released charges");
        let completed = ledger.completed.values();
        let count: u64 = completed.map(|record| record.sequences.len()).sum();
        let started = self.started.len() as u64;
        assert_eq!(count, started, "completed and started admissions");
        for id in requests.keys() {
            if !self.answers.contains_key(id) {
                self.fail(&format!("{id} was never answered"));
            }
        }
    }
}
