//! Decision on a request, made once its head has arrived.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use hyper::Response;
use hyper::http::request::Parts;
use pollenrouter_http::body::BodyError;

/// A request whose body has been read, or could not be read.
#[derive(Debug)]
pub struct ReadRequest {
    /// The body.
    pub body: Result<Bytes, BodyError>,
    /// Time since the head of the request arrived.
    pub waited: Duration,
}

/// Performs a request.
pub type Run = Box<dyn FnOnce(ReadRequest) -> LocalBoxFuture<'static, Response<Bytes>>>;

/// Decision on a request whose head has arrived.
pub enum Admission {
    /// Read the body and perform the request.
    Run {
        /// Maximum size of the body, bytes.
        body_max_bytes: u64,
        /// Whether other requests of the connection may be at work at the same time.
        is_concurrent: bool,
        /// Performs the request.
        run: Run,
    },
    /// Respond without reading the body.
    Respond(Response<Bytes>),
}

/// Decides on a request by its head.
pub type Admit = Rc<dyn Fn(&Parts) -> Admission>;
