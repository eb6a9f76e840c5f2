//! Response bodies for clients of HTTP/1.0, which know no chunks: a body of unknown length ends with
//! its connection, so that only a reset shows the client that it was broken off.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{ConnectionType, Response, Version};
use bytes::Bytes;

use crate::watched::Connection;

/// Delimits the body of a response as its client's version of HTTP allows.
#[must_use]
pub fn delimit_body(
    mut response: Response<BoxBody>,
    version: Version,
    connection: Rc<Connection>,
) -> Response<BoxBody> {
    if version >= Version::HTTP_11 || response.body().size() != BodySize::Stream {
        return response;
    }
    let head = response.head_mut();
    head.no_chunking(true);
    head.set_connection_type(ConnectionType::Close);
    connection.set_reset_on_close(true);
    response.map_body(|_, body| {
        BoxBody::new(CloseDelimitedBody {
            body,
            connection,
            has_failed: false,
        })
    })
}

/// A body whose connection is reset unless it is complete.
struct CloseDelimitedBody {
    body: BoxBody,
    connection: Rc<Connection>,
    has_failed: bool,
}

impl MessageBody for CloseDelimitedBody {
    type Error = Box<dyn std::error::Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        let next = Pin::new(&mut this.body).poll_next(context);
        this.has_failed |= matches!(next, Poll::Ready(Some(Err(_))));
        if matches!(next, Poll::Ready(None)) && !this.has_failed {
            this.connection.set_reset_on_close(false);
        }
        next
    }
}
