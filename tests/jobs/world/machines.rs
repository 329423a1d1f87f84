//! The machines that host executors: their list, and their maintenance.

use super::*;

impl World {
    /// The list of machines. Each is named like the address of its executors.
    pub(super) fn machines(&self) -> Vec<MachineInfo> {
        let mut machines = BTreeMap::new();
        for executor in &self.executors {
            let machine = executor.info.address.clone();
            let down = self.down.contains_key(&machine);
            let off = self.powered_off.contains(&machine);
            let state = match (down, off) {
                (true, _) => MachineState::Maintenance,
                (_, true) => MachineState::Down,
                _ => MachineState::Up,
            };
            let info = MachineInfo {
                machine: machine.clone(),
                pool: "s".into(),
                state,
                executor: match self.listed_executors.get(&machine) {
                    Some(shown) => shown.clone(),
                    None if off => String::new(),
                    None => executor.info.id.clone(),
                },
            };
            machines.insert(machine, info);
        }
        machines.retain(|machine, _| !self.unlisted.contains(machine));
        machines.into_values().collect()
    }

    /// Takes a machine down for two seconds, unless the wave has already done
    /// so.
    pub(super) fn maintain(
        &mut self,
        wave: u64,
        machine: &str,
    ) -> Result<(), MaintenanceFailure> {
        if self.not_in_wave.contains(machine) {
            return Err(MaintenanceFailure::NoSuchMachine);
        }
        let called = (wave, machine.to_string());
        if self.maintenance_done.contains(&called) {
            return Ok(());
        }
        if self.down.contains_key(machine) {
            return Err(MaintenanceFailure::Refused);
        }
        let hosted = self.executors.iter_mut().rev();
        let hosted = hosted.filter(|e| e.info.address == machine);
        for executor in hosted {
            executor.dead = true;
            executor.running.clear();
        }
        self.down.insert(machine.to_string(), self.now + MAINTENANCE_DURATION);
        self.maintenance_done.insert(called);
        self.maintained.push(machine.to_string());
        self.max_down = self.max_down.max(self.down.len());
        Ok(())
    }

    /// Brings machines back from maintenance, with new executors unless the
    /// world keeps names.
    pub(super) fn end_maintenance(&mut self) {
        let now = self.now;
        let back: Vec<String> = self
            .down
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(machine, _)| machine.clone())
            .collect();
        for machine in back {
            self.down.remove(&machine);
            if self.keep_names {
                self.restart_at(&machine);
                continue;
            }
            let id = format!("{machine}-{now}");
            self.add_executor(&id);
            let last = self.executors.len() - 1;
            self.executors[last].info.address = machine;
            let info = self.executors[last].info.clone();
            self.event(Event::Listed(info));
        }
    }
}
