//! Handles the messages of clients: status, cancellations and requests.

use super::Server;
use super::parameters::{self, ParameterError, RequestParameters, TeamParameters, hash_of};
use crate::clients::MAX_OPEN_REQUESTS_PER_CLIENT;
use crate::dispatch::RequestOutcome;
use crate::jsonrpc::{self, Cancellation, RequestError, RequestErrorKind, RpcRequest};
use crate::request_table::Request;
use crate::slots::Slot;
use emberflow::{Arrival, RequestId};
use emberflow_settings::{Fields, from_ms};
use std::time::Duration;

/// Maximum deadline of a request. Longer ones are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Part of each deadline that is reserved for the transit of the request and its answer. The protocol extends the
/// deadlines of requests on sockets by this time.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(50);

/// The message by which a client sends a request.
struct RequestMessage<'a> {
    client: Slot,
    /// The message id; `None` for a notification.
    id: Option<u64>,
    /// The name of the request class.
    method: &'a str,
    /// The undecoded parameters.
    fields: Fields<'a>,
    /// Time since the message was received.
    waited: Duration,
}

/// The message id, class and name of a request that may be opened.
struct ValidatedRequest<'a> {
    id: u64,
    class: usize,
    name: &'a str,
}

impl Server {
    /// Handles a message that was received `waited` ago.
    ///
    /// # Errors
    /// Returns the error to be sent to the client.
    pub(super) fn handle_message(
        &mut self,
        client: Slot,
        line: &[u8],
        waited: Duration,
    ) -> Result<(), RequestError> {
        let RpcRequest { id, method, params } = jsonrpc::parse_request(line)?;
        let fields = Fields::of(&params);
        match method.as_str() {
            jsonrpc::STATUS_METHOD => self.answer_status(client, id),
            jsonrpc::CANCEL_METHOD => {
                self.cancel_request(client, &Cancellation::decode(id, fields));
                Ok(())
            }
            method => self.handle_request(RequestMessage { client, id, method, fields, waited }),
        }
    }

    fn answer_status(&mut self, client: Slot, id: Option<u64>) -> Result<(), RequestError> {
        let id = id.ok_or_else(|| RequestError::new(None, RequestErrorKind::StatusWithoutId))?;
        let is_serving = self.dispatcher.had_ready_endpoint && !self.is_shutting_down();
        self.dispatcher.clients.send_line(client, &jsonrpc::status_line(id, is_serving));
        Ok(())
    }

    fn cancel_request(&mut self, client: Slot, cancellation: &Cancellation) {
        if let Some(request) = self.find_open_request(client, cancellation) {
            self.stop_unwanted_work(vec![request], Vec::new());
        }
    }

    /// Returns the open request of a client that a cancellation names, by the request's name or by its message id.
    pub(super) fn find_open_request(&self, client: Slot, cancellation: &Cancellation) -> Option<RequestId> {
        for id in self.dispatcher.clients.table.get(client)?.open_requests.values() {
            let Some(request) = self.dispatcher.requests.get(*id) else { continue };
            if request.name == cancellation.name || Some(request.client_request_id) == cancellation.id {
                return Some(*id);
            }
        }
        None
    }

    /// Validates and decodes a request, adds it to the open requests, and passes it to the admission queue, or to the
    /// scheduler if there is no queue.
    fn handle_request(&mut self, message: RequestMessage<'_>) -> Result<(), RequestError> {
        let now = self.dispatcher.context.now();
        let RequestMessage { client, id, method, fields, waited } = message;
        let Some(validated) = self.validate(&message)? else { return Ok(()) };
        let ValidatedRequest { id: client_request_id, class, name } = validated;
        let invalid_parameters =
            |error: ParameterError| RequestError::new(id, RequestErrorKind::invalid_params(error));
        let parameters = RequestParameters::decode(fields).map_err(invalid_parameters)?;
        let arrival = self.arrival_of(&parameters, class, waited);
        log::debug!(
            "request received: request={} client={client:?} name={name} class={method} {parameters}",
            arrival.request
        );
        let team = match &self.admission_queue {
            Some(queue) => Some(TeamParameters::decode(&queue.teams, fields).map_err(invalid_parameters)?),
            None => None,
        };
        let identity = u64::from(hash_of(parameters.idempotency_key.as_deref().unwrap_or(name)));
        let request = Request {
            idempotency_key: parameters.idempotency_key,
            statement: parameters.statement,
            ..Request::new(client, client_request_id, name, class)
        };
        if !self.dispatcher.open_request(request) {
            return Err(RequestError::new(id, RequestErrorKind::TooManyOpen));
        }
        match team {
            Some(team) => self.enqueue(now, arrival, team, identity),
            None => self.scheduler.accept(now, arrival, &mut self.dispatcher),
        }
        Ok(())
    }

    /// Checks a request's class, id and name, the limit of open requests of the connection, and that no open request
    /// has the same id or name. Returns `None` for a request that needs no answer, since the client has cancelled it or
    /// left.
    fn validate<'a>(
        &mut self,
        message: &RequestMessage<'a>,
    ) -> Result<Option<ValidatedRequest<'a>>, RequestError> {
        let RequestMessage { client, id, method, fields, .. } = *message;
        let error = RequestError::new;
        let class = self.dispatcher.config.classes.iter().position(|name| name == method);
        let class = class.ok_or_else(|| error(id, RequestErrorKind::UnknownMethod(method.to_owned())))?;
        let Some(client_request_id) = id else { return Err(error(None, RequestErrorKind::RequestWithoutId)) };
        let Some(connection) = self.dispatcher.clients.table.get(client) else { return Ok(None) };
        if connection.open_requests.contains_key(&client_request_id) {
            // The client would take an error with this id for the answer to the open request.
            return Err(error(None, RequestErrorKind::IdOpen));
        }
        if connection.open_requests.len() >= MAX_OPEN_REQUESTS_PER_CLIENT {
            return Err(error(id, RequestErrorKind::TooManyOpenOnConnection));
        }
        let name = parameters::request_name(fields);
        let name = name.map_err(|cause| error(id, RequestErrorKind::invalid_params(cause)))?;
        if self.is_cancelled(client, client_request_id, name)? {
            return Ok(None);
        }
        // Engines identify a request by its name alone, so the name must be unique among the requests of all clients.
        if self.dispatcher.requests.is_name_open(name) {
            return Err(error(id, RequestErrorKind::NameOpen));
        }
        Ok(Some(ValidatedRequest { id: client_request_id, class, name }))
    }

    /// Whether a client has cancelled a request before the request was read. Fails if the client has ended its input
    /// meanwhile, so that no attempt is sent for a client that may have disconnected.
    fn is_cancelled(&mut self, client: Slot, id: u64, name: &str) -> Result<bool, RequestError> {
        let now = self.dispatcher.context.now();
        if self.dispatcher.clients.has_ended_input(client, now) {
            return Err(RequestError::new(Some(id), RequestErrorKind::ClientLeft));
        }
        let is_cancelled = self.dispatcher.clients.has_cancelled(client, name, id);
        if is_cancelled {
            self.dispatcher.context.counters.count(RequestOutcome::Cancelled.counter());
            log::debug!("request cancelled by its client before it was read: client={client:?} name={name}");
        }
        Ok(is_cancelled)
    }

    /// Builds the scheduler's input for a request.
    fn arrival_of(&self, parameters: &RequestParameters, class: usize, waited: Duration) -> Arrival {
        let deadline = from_ms(parameters.deadline_ms).min(MAX_DEADLINE).saturating_sub(NETWORK_ALLOWANCE);
        Arrival {
            request: self.dispatcher.requests.next_id,
            class,
            key: parameters.ordering_key,
            estimated_work: parameters.estimated_work,
            estimated_memory_mb: parameters.estimated_memory_mb,
            deadline,
            queue_time: waited,
            is_retry: self.dispatcher.config.clients_mark_retries.then_some(parameters.is_resent),
            table_group: parameters.table_group,
        }
    }
}
