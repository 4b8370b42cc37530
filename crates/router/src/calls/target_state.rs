//! What is known about the target of this host.

use pollenrouter_core::gate::statement::Statement;
use pollenrouter_core::{gate, service};

use super::{Calls, Input};

impl Calls {
    /// Sets the document of the target's service.
    pub fn set_document(&mut self, service: service::Service) {
        self.answer_max_bytes = service.limits.answer_bytes;
        self.process(Input::Gate(gate::Input::Document(service)));
    }

    /// Handles an announcement of the target.
    pub fn handle_announcement(&mut self, announcement: gate::Announcement) {
        self.process(Input::Gate(gate::Input::Announced(announcement)));
    }

    /// Handles the departure of a target.
    pub fn handle_departure(&mut self, incarnation: gate::target::TargetIncarnation) {
        self.process(Input::Gate(gate::Input::Departed(incarnation)));
    }

    /// Lets calls start, now that the departures before this daemon's start are known.
    pub fn handle_departures_loaded(&mut self) {
        self.process(Input::Gate(gate::Input::DeparturesLoaded));
    }

    /// Handles what the target states about itself.
    pub fn handle_statement(&mut self, statement: Statement) {
        let asked_at = statement.asked_at.saturating_sub(self.clock_start);
        let statement = Statement {
            asked_at,
            ..statement
        };
        self.process(Input::Gate(gate::Input::Stated(statement)));
    }

    /// Handles a load report of the target.
    pub fn handle_load_report(&mut self, report: gate::LoadReport) {
        self.process(Input::Gate(gate::Input::LoadReported(report)));
    }

    /// Handles the failure of a load request to the target.
    pub fn handle_load_unavailable(&mut self) {
        self.process(Input::Gate(gate::Input::LoadNotReported));
    }

    /// Handles that a connection to a target was refused or broke off.
    pub fn handle_target_connection_failed(&mut self, target: gate::target::TargetIncarnation) {
        self.process(Input::Gate(gate::Input::ConnectionFailed(target)));
    }

    /// Sets whether the failure domain of this host is evacuated.
    pub fn set_evacuated(&mut self, evacuated: bool) {
        self.process(Input::Gate(gate::Input::Evacuated(evacuated)));
    }
}
