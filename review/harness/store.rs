//! Stand-in for the platform's metadata store.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Json};

#[derive(Default)]
struct State {
    revision: u64,
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), Json>,
    /// Changed objects, by revision.
    history: Vec<(u64, String, Json)>,
    /// While set, every call gets 503, which means that nothing was done.
    down: bool,
    /// Whether a 409 for an object that exists already comes without the object.
    bare_conflicts: bool,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        http::serve(listener, move |request| Some(store.handle(request)));
    }

    /// Writes as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut state = self.0.0.lock().unwrap();
        write(&mut state, kind, name, spec);
        self.0.1.notify_all();
    }

    pub fn set_down(&self, down: bool) {
        self.0.0.lock().unwrap().down = down;
        self.0.1.notify_all();
    }

    pub fn set_bare_conflicts(&self) {
        self.0.0.lock().unwrap().bare_conflicts = true;
    }

    /// The objects of a kind that the system has written, as text.
    pub fn specs(&self, kind: &str) -> Vec<String> {
        let state = self.0.0.lock().unwrap();
        let objects = state.objects.iter().filter(|((k, _), _)| k == kind);
        objects
            .map(|(_, o)| o.get("spec").text().unwrap_or_default().to_owned())
            .collect()
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let target = request.target();
        let path = target.split('?').next().unwrap_or_default();
        let Some(rest) = path.strip_prefix("/api/objects/") else {
            return reply(404, &Json::Null);
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        if self.0.0.lock().unwrap().down {
            return reply(503, &Json::Null);
        }
        match (request.method(), name) {
            ("GET", "") if request.query("watch").is_some() => self.watch(kind, request),
            ("GET", "") => {
                let state = self.0.0.lock().unwrap();
                let items = state.objects.iter().filter(|((k, _), _)| k == kind);
                let items = items.map(|(_, object)| object.clone()).collect();
                reply(
                    200,
                    &json::map(&[
                        ("items", Json::List(items)),
                        ("hasMore", Json::Bool(false)),
                        ("currentRev", json::num(state.revision)),
                    ]),
                )
            }
            ("GET", _) => {
                let state = self.0.0.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => reply(200, object),
                    None => reply(404, &Json::Null),
                }
            }
            ("POST", "") => {
                let name = body.get("metadata").get("name").text().unwrap_or_default();
                self.write(kind, name, &body, true)
            }
            ("PUT", _) => self.write(kind, name, &body, false),
            _ => reply(405, &Json::Null),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &Json, creates: bool) -> Vec<u8> {
        let mut state = self.0.0.lock().unwrap();
        let held = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        let expected = body.get("metadata").get("revision").number();
        match &held {
            Some(object) => {
                let is_current = object.get("metadata").get("revision").number() == expected;
                if creates && state.bare_conflicts {
                    return reply(
                        409,
                        &json::map(&[("error", Json::Str("exists".to_owned()))]),
                    );
                }
                if creates || expected.is_some() && !is_current {
                    return reply(409, object);
                }
                if object.get("spec") == body.get("spec") {
                    return reply(200, object);
                }
            }
            None if !creates => return reply(404, &Json::Null),
            None => {}
        }
        let object = write(&mut state, kind, name, body.get("spec").clone());
        self.0.1.notify_all();
        reply(if creates { 201 } else { 200 }, &object)
    }

    fn watch(&self, kind: &str, request: &Message) -> Vec<u8> {
        let number = |name| {
            request
                .query(name)
                .and_then(|v| v.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let after = number("watch");
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        let mut state = self.0.0.lock().unwrap();
        loop {
            if state.down {
                return reply(503, &Json::Null);
            }
            let changes = state
                .history
                .iter()
                .filter(|(at, k, _)| *at > after && k == kind);
            let events: Vec<Json> = changes
                .map(|(_, _, o)| {
                    json::map(&[("object", o.clone()), ("deleted", Json::Bool(false))])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return reply(
                    200,
                    &json::map(&[
                        ("events", Json::List(events)),
                        ("currentRev", json::num(state.revision)),
                    ]),
                );
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn write(state: &mut State, kind: &str, name: &str, spec: Json) -> Json {
    state.revision += 1;
    let key = (kind.to_owned(), name.to_owned());
    let held = state.objects.get(&key);
    let created = held.and_then(|o| o.get("metadata").get("createRev").number());
    let metadata = json::map(&[
        ("name", Json::Str(name.to_owned())),
        ("revision", json::num(state.revision)),
        ("createRev", json::num(created.unwrap_or(state.revision))),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    let object = json::map(&[
        ("metadata", metadata),
        ("spec", spec),
        ("status", Json::Null),
    ]);
    state.objects.insert(key, object.clone());
    state
        .history
        .push((state.revision, kind.to_owned(), object.clone()));
    object
}

fn reply(status: u16, body: &Json) -> Vec<u8> {
    let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
    http::response(status, &headers, body.to_string().as_bytes())
}
