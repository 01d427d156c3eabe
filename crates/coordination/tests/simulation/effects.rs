//! The delivery of owners' effects to the fences, and which nodes may act as owners.

use super::{AdmittedEffect, SentEffect, Simulation};
use postproxy_coordination::{Effect, Fence};

impl Simulation {
    pub(super) fn send_effects(&mut self, effects: Vec<Effect<usize>>) {
        for effect in effects {
            for fence in 0..self.fences.len() {
                let arrives_at = self.now + 1 + self.draw(200);
                self.sent_effects.push(SentEffect {
                    arrives_at,
                    fence,
                    effect: effect.clone(),
                });
            }
        }
    }

    pub(super) fn deliver_effects(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self
            .sent_effects
            .drain(..)
            .partition(|sent| sent.arrives_at <= now);
        self.sent_effects = rest;
        for SentEffect { fence, effect, .. } in due {
            let lease = effect.lease().to_owned();
            let token = effect.token();
            let admitted = if self.disabled.fence {
                // A new fence has seen no token and admits every effect.
                Fence::default().admit(effect)
            } else {
                self.fences[fence].admit(effect)
            };
            match admitted {
                Ok(node) => {
                    let admitted = self.admitted.entry((fence, lease)).or_default();
                    admitted.push(AdmittedEffect { token, node });
                }
                Err(_) => self.exercised.effect_rejected = true,
            }
        }
    }

    pub(super) fn record_timeline(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].paused_until > self.now {
                continue;
            }
            if let Some(coordinator) = &self.nodes[n].coordinator {
                let permit = coordinator.permit(self.clock(n), "audit");
                let state =
                    permit.map_or(String::new(), |permit| format!("owner {}", permit.token()));
                self.timeline.set_state(self.now, n, state);
            }
        }
    }

    /// Returns the nodes that may act as the owner of a lease now.
    pub fn acting_owners(&self, lease: &str) -> Vec<usize> {
        let may_act = |n: &usize| {
            let node = &self.nodes[*n];
            let is_paused = node.paused_until > self.now;
            let coordinator = node.coordinator.as_ref().filter(|_| !is_paused);
            coordinator
                .is_some_and(|coordinator| coordinator.permit(self.clock(*n), lease).is_some())
        };
        (0..self.nodes.len()).filter(may_act).collect()
    }
}
