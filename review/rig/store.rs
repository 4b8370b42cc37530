//! Stand-in of the platform's metadata store, and a link in front of it that can go silent.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Message};
use crate::json::Json;

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: Json,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// The store: objects by kind and name, with revisions, lists and watches.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// While set, every call gets 503 and nothing is done.
    pub is_down: AtomicBool,
}

impl Object {
    fn json(&self) -> String {
        let name = Json::Text(self.name.clone());
        format!(
            r#"{{"metadata":{{"name":{name},"revision":{},"createRev":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
            self.revision, self.created, self.spec
        )
    }
}

impl Store {
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<()> {
        let store = self.clone();
        http::Server::new(address, move |message| Some(store.handle(message))).listen()
    }

    /// Writes what the operator writes; returns once it is stored.
    pub fn configure(&self, spec: &Json) {
        let mut state = self.state.lock().unwrap();
        state.write("config", "main", spec.clone());
        self.changed.notify_all();
    }

    fn handle(&self, message: &Message) -> Answer {
        if self.is_down.load(Ordering::SeqCst) {
            return (503, vec![], "{}".to_owned());
        }
        let mut words = message.start.split(' ');
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/api/objects/") else {
            return (404, vec![], "{}".to_owned());
        };
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let field = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            fields
                .filter(|(n, _)| *n == name)
                .map(|(_, value)| value)
                .next()
        };
        let body = || Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
        let (status, text) = match method {
            "GET" if name.is_empty() => match field("watch").and_then(|at| at.parse().ok()) {
                Some(after) => {
                    let wait = field("waitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None => self.list(kind, field("after").unwrap_or("")),
            },
            "GET" => self.state.lock().unwrap().get(kind, name),
            "POST" => self.create(kind, &body()),
            "PUT" => self.replace(kind, name, &body()),
            _ => (405, "{}".to_owned()),
        };
        (
            status,
            vec![("Content-Type", "application/json".to_owned())],
            text,
        )
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let objects = state
            .objects
            .iter()
            .filter(|((k, name), _)| k == kind && name.as_str() > after);
        let items: Vec<String> = objects.map(|(_, object)| object.json()).collect();
        let items = items.join(",");
        (
            200,
            format!(
                r#"{{"items":[{items}],"hasMore":false,"currentRev":{}}}"#,
                state.revision
            ),
        )
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let newer = state
                .objects
                .iter()
                .filter(|((k, _), o)| k == kind && o.revision > after);
            let events: Vec<String> = newer
                .map(|(_, object)| format!(r#"{{"object":{},"deleted":false}}"#, object.json()))
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!(r#"{{"events":[{events}],"currentRev":{}}}"#, state.revision),
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, body: &Json) -> (u16, String) {
        let Some(name) = body.get("metadata").get("name").text() else {
            return (400, "{}".to_owned());
        };
        let mut state = self.state.lock().unwrap();
        let (status, stored) = state.get(kind, name);
        if status == 200 {
            return (409, stored);
        }
        state.write(kind, name, body.get("spec").clone());
        self.changed.notify_all();
        (201, state.get(kind, name).1)
    }

    fn replace(&self, kind: &str, name: &str, body: &Json) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.get(&key) else {
            return (404, "{}".to_owned());
        };
        let expected = body.get("metadata").get("revision").number();
        if expected.is_some_and(|expected| expected != object.revision) {
            return (409, object.json());
        }
        state.write(kind, name, body.get("spec").clone());
        self.changed.notify_all();
        state.get(kind, name)
    }
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: Json) {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        if known.is_some_and(|known| known.spec == spec) {
            return;
        }
        self.revision += 1;
        let created = known.map_or(self.revision, |known| known.created);
        let object = Object {
            name: name.to_owned(),
            revision: self.revision,
            created,
            spec,
        };
        self.objects.insert(key, object);
    }

    fn get(&self, kind: &str, name: &str) -> (u16, String) {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some(object) => (200, object.json()),
            None => (404, "{}".to_owned()),
        }
    }
}

/// A link to the store. Connections that were opened before [`Link::silence`] pass nothing
/// further, in either direction, and stay open; those opened later work.
#[derive(Default)]
pub struct Link {
    opened: AtomicU64,
    silent_up_to: AtomicU64,
}

impl Link {
    pub fn silence(&self) -> u64 {
        let opened = self.opened.load(Ordering::SeqCst);
        self.silent_up_to.store(opened, Ordering::SeqCst);
        opened
    }

    pub fn serve(self: &Arc<Self>, address: SocketAddr, store: SocketAddr) -> std::io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let link = self.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(store) else {
                    continue;
                };
                let number = link.opened.fetch_add(1, Ordering::SeqCst) + 1;
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let _ = to.set_nodelay(true);
                    let link = link.clone();
                    thread::spawn(move || link.copy(number, from, to));
                }
            }
        });
        Ok(())
    }

    fn copy(&self, number: u64, mut from: TcpStream, mut to: TcpStream) {
        let mut buf = [0; 16384];
        loop {
            let len = from.read(&mut buf).unwrap_or(0);
            if number <= self.silent_up_to.load(Ordering::SeqCst) {
                if len == 0 {
                    // Nothing passes any more, so neither does the end. The other side keeps its
                    // connection, as behind a firewall that has lost its state.
                    thread::sleep(Duration::from_secs(600));
                }
                continue;
            }
            if len == 0 || to.write_all(&buf[..len]).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    }
}
