//! Faults: drawn from a seed, begun, and ended.
use super::{Act, Before, Lab};
use crate::relay::Damage;
use crate::scenario::{Fault, Kind, Scenario};
use crate::viewers::unix_us;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use rustix::process::Signal;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use stonewharf_standins::Mode;

/// Faults drawn from a seed: links and processes, at times that leave room to heal.
pub(super) fn drawn(scenario: &Scenario, seed: u64) -> Vec<Fault> {
    let mut dice = ChaCha8Rng::seed_from_u64(seed ^ 0x5eed);
    let mut below = |n: usize| (dice.next_u64() % n.max(1) as u64) as usize;
    let mut faults = Vec::new();
    for _ in 0..scenario.drawn {
        let at = scenario.seconds * (10 + below(50)) as f64 / 100.0;
        let lasts = (scenario.seconds * (2 + below(18)) as f64 / 100.0).max(0.2);
        let one = format!("d{}", below(scenario.directors));
        let other = format!("d{}", below(scenario.directors));
        let kinds = [Kind::Cut, Kind::Bad, Kind::Kill, Kind::Stop, Kind::Reset];
        let kind = kinds[below(kinds.len())];
        faults.push(Fault {
            kind,
            at,
            lasts,
            who: vec![one.clone()],
            from: vec![one],
            to: vec![other],
            one_way: below(2) == 0,
            loss: 0.3,
            delay_ms: 100.0,
            jitter_ms: 50.0,
            twice: 0.1,
            bytes_per_s: 0.0,
            back_after: below(20) as f64 / 10.0,
            without_folder: below(2) == 0,
            older_folder: false,
            args: Vec::new(),
            file: String::new(),
            says: String::new(),
            expect: "any".into(),
            back: Vec::new(),
            damaged: false,
        });
    }
    faults
}

impl Lab {
    pub(super) fn directors_of(&self, who: &[String]) -> Vec<usize> {
        let names = self.world.scenario.named(who);
        names.iter().filter_map(|n| n.strip_prefix('d')?.parse().ok()).collect()
    }

    pub(super) fn begin(&mut self, f: usize, now: Instant) -> io::Result<()> {
        let fault = self.faults[f].clone();
        let (from, to) = (self.world.scenario.named(&fault.from), self.world.scenario.named(&fault.to));
        let who = self.world.scenario.named(&fault.who);
        let what = format!("{:?}", fault.kind).to_lowercase();
        let links = matches!(fault.kind, Kind::Cut | Kind::Reset | Kind::Bad);
        let interval = if links {
            self.begin_interval(&what, from.clone(), to.clone(), fault.one_way)
        } else {
            self.begin_interval(&what, who.clone(), vec![], false)
        };
        self.open.insert(f, interval);
        let directors = self.directors_of(&fault.who);
        match fault.kind {
            Kind::Cut | Kind::Reset | Kind::Bad => {
                let bad = fault.kind == Kind::Bad;
                let damage = Damage {
                    cut: fault.kind == Kind::Cut,
                    reset: fault.kind == Kind::Reset,
                    loss: if bad { fault.loss } else { 0.0 },
                    delay: Duration::from_secs_f64(if bad { fault.delay_ms / 1e3 } else { 0.0 }),
                    jitter: Duration::from_secs_f64(if bad { fault.jitter_ms / 1e3 } else { 0.0 }),
                    twice: if bad { fault.twice } else { 0.0 },
                    bytes_per_s: if bad { fault.bytes_per_s } else { 0.0 },
                };
                self.world.relays.damage(f as u64, &from, &to, &damage);
                if !fault.one_way {
                    self.world.relays.damage(f as u64, &to, &from, &damage);
                }
            }
            Kind::Kill | Kind::Term => {
                for i in directors.into_iter().filter(|i| self.world.runs(*i)).collect::<Vec<_>>() {
                    let (signal, what) = if fault.kind == Kind::Kill {
                        (Signal::KILL, "dead")
                    } else {
                        (Signal::TERM, "leaving")
                    };
                    let at = self.begin_interval(what, vec![format!("d{i}")], vec![], false);
                    self.dead.insert(i, at);
                    self.world.signal(i, signal);
                    if fault.back_after >= 0.0 {
                        let before = match () {
                            () if fault.older_folder => Before::Older,
                            () if fault.without_folder => Before::Emptied,
                            () => Before::Kept,
                        };
                        self.back.insert(i, (fault.back_after, before));
                    }
                }
            }
            Kind::Stop => directors.into_iter().for_each(|i| self.world.signal(i, Signal::STOP)),
            Kind::Reload => {
                for i in directors {
                    self.world.operator_file(i, fault.damaged)?;
                    self.world.signal(i, Signal::HUP);
                }
            }
            Kind::Twin => directors.into_iter().try_for_each(|i| self.world.twin(i))?,
            Kind::Noise => {
                for at in directors.into_iter().filter_map(|i| self.world.port(i)).collect::<Vec<_>>() {
                    let stop = Arc::new(AtomicBool::new(false));
                    let (told, seed) = (Arc::clone(&stop), self.history.seed);
                    self.noise.push((f, stop, thread::spawn(move || noise(at, seed, &told))));
                }
            }
            Kind::Order => {
                let orders: Vec<_> = directors.into_iter().map(|i| self.world.order(i, &fault)).collect();
                self.orders.extend(orders);
                for i in self.directors_of(&fault.back) {
                    self.world.file(i, &fault.file);
                    self.back.insert(i, (fault.back_after.max(0.0), Before::Kept));
                }
            }
            Kind::Full => directors.into_iter().for_each(|i| self.world.fill(i, true)),
            Kind::Copy => directors.into_iter().try_for_each(|i| self.world.copy_folder(i))?,
            Kind::Silent => directors.into_iter().for_each(|i| self.world.bulletins[i].silence(true)),
            Kind::Drain => self.world.tell(&streamers_of(&who), "terminating", 0),
            Kind::Stall => {
                streamers_of(&who).into_iter().for_each(|k| self.world.streamers[k].set(Mode::Stalls))
            }
            Kind::Short => {
                streamers_of(&who).into_iter().for_each(|k| self.world.streamers[k].set(Mode::Short));
            }
            Kind::Restart => {
                streamers_of(&who).into_iter().for_each(|k| self.world.streamers[k].set(Mode::Refuses));
            }
        }
        let at_once = matches!(fault.kind, Kind::Kill | Kind::Term | Kind::Reload | Kind::Copy | Kind::Order);
        let lasting = !at_once && fault.kind != Kind::Drain;
        if lasting {
            self.put(now + Duration::from_secs_f64(fault.lasts), Act::End(f));
        } else if at_once {
            self.over(f);
        }
        Ok(())
    }

    pub(super) fn over(&mut self, f: usize) {
        if let Some(at) = self.open.remove(&f) {
            self.history.faults[at].until = unix_us();
        }
    }

    pub(super) fn end(&mut self, f: usize) -> io::Result<()> {
        let fault = self.faults[f].clone();
        let directors = self.directors_of(&fault.who);
        match fault.kind {
            Kind::Cut | Kind::Reset | Kind::Bad => self.world.relays.mend(f as u64),
            Kind::Stop => directors.into_iter().for_each(|i| self.world.signal(i, Signal::CONT)),
            Kind::Twin => directors.into_iter().for_each(|i| self.world.untwin(i)),
            Kind::Full => directors.into_iter().for_each(|i| self.world.fill(i, false)),
            Kind::Silent => directors.into_iter().for_each(|i| self.world.bulletins[i].silence(false)),
            Kind::Stall | Kind::Restart | Kind::Short => {
                let streamers = streamers_of(&self.world.scenario.named(&fault.who));
                streamers.iter().for_each(|k| self.world.streamers[*k].set(Mode::Answers));
                if fault.kind == Kind::Restart {
                    self.world.tell(&streamers, "in_service", unix_us() / 1_000);
                }
            }
            Kind::Noise => {
                let (over, on): (Vec<_>, Vec<_>) =
                    std::mem::take(&mut self.noise).into_iter().partition(|n| n.0 == f);
                self.noise = on;
                for (_, stop, thread) in over {
                    stop.store(true, Ordering::SeqCst);
                    let _ = thread.join();
                }
            }
            _ => {}
        }
        self.over(f);
        Ok(())
    }
}

fn streamers_of(names: &[String]) -> Vec<usize> {
    names.iter().filter_map(|n| n.strip_prefix('s')?.parse().ok()).collect()
}

/// Noise at a peer port until told to stop: random, oversized, and well-formed bytes of another cluster.
fn noise(at: SocketAddr, seed: u64, stop: &AtomicBool) {
    let mut dice = ChaCha8Rng::seed_from_u64(seed);
    let Ok(socket) = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0))) else { return };
    let mut bytes = vec![0; 9_000];
    while !stop.load(Ordering::SeqCst) {
        for _ in 0..64 {
            dice.fill_bytes(&mut bytes);
            let length = (dice.next_u64() % 9_000) as usize;
            let _ = socket.send_to(&bytes[..length], at); // full buffers lose some
            // The level and, as it may be, another cluster's digest.
            let foreign = [1, 0xaa, 0xbb, 0xcc, 0xdd, 0x0e, 2, b'd', b'1', 1, 255, 1, 7];
            let _ = socket.send_to(&foreign, at);
        }
        if let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_millis(100)) {
            let _ = stream.set_write_timeout(Some(Duration::from_millis(50)));
            let _ = stream.write_all(&bytes[..4_096]); // it may be closed under us
        }
    }
}
