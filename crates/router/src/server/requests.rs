//! Messages of clients: status, withdrawals and requests.

use super::Server;
use super::parameters::{self, ParameterError, RequestParameters, TeamParameters, hash_of};
use crate::clients::MAX_OPEN_REQUESTS;
use crate::dispatch::RequestOutcome;
use crate::jsonrpc::{self, RequestError, RequestErrorKind, RpcRequest, Withdrawal};
use crate::request_table::Request;
use crate::slots::Slot;
use emberflow::{Arrival, RequestId};
use emberflow_settings::{Fields, from_ms};
use std::time::Duration;

/// The longest deadline that is taken from a client.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// What a request and its answer may take on the network beside what is seen here: the protocol makes each
/// deadline as much longer on sockets. Without it, answers that leave in time arrive too late.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(50);

/// A request's message as it came, before its parameters are decoded.
struct RequestMessage<'a> {
    client: Slot,
    /// `None` for a notification.
    id: Option<u64>,
    method: &'a str,
    fields: Fields<'a>,
    /// Time since it was received.
    waited: Duration,
}

/// A message whose sender, id and name were found to be in order.
struct Validated<'a> {
    id: u64,
    class: usize,
    name: &'a str,
}

impl Server {
    /// Handles a message that was received `waited` ago.
    pub(super) fn handle_message(
        &mut self,
        client: Slot,
        line: &[u8],
        waited: Duration,
    ) -> Result<(), RequestError> {
        let RpcRequest { id, method, params } = jsonrpc::parse_request(line)?;
        let fields = Fields::of(&params);
        match method.as_str() {
            "status" => self.answer_status(client, id),
            "withdraw" => {
                self.withdraw_request(client, &Withdrawal::decode(id, fields));
                Ok(())
            }
            method => self.take_request(RequestMessage { client, id, method, fields, waited }),
        }
    }

    fn answer_status(&mut self, client: Slot, id: Option<u64>) -> Result<(), RequestError> {
        let id = id.ok_or_else(|| RequestError::new(None, RequestErrorKind::StatusWithoutId))?;
        let is_serving = self.dispatcher.had_ready_endpoint && !self.is_shutting_down();
        self.dispatcher.clients.send_line(client, &jsonrpc::status_line(id, is_serving));
        Ok(())
    }

    fn withdraw_request(&mut self, client: Slot, withdrawal: &Withdrawal) {
        if let Some(request) = self.find_open_request(client, withdrawal) {
            self.clients_departed(vec![request], Vec::new());
        }
    }

    /// The open request that a client names by its `req` or by its id on this connection.
    pub(super) fn find_open_request(&self, client: Slot, withdrawal: &Withdrawal) -> Option<RequestId> {
        let is_named = |request: &RequestId| {
            let request = self.dispatcher.requests.get(*request);
            request.is_some_and(|request| {
                request.name == withdrawal.name || Some(request.client_request_id) == withdrawal.id
            })
        };
        self.dispatcher.clients.table.get(client)?.open.values().copied().find(is_named)
    }

    /// Checks and decodes a request, then passes it to the scheduler or into the admission queue.
    fn take_request(&mut self, message: RequestMessage<'_>) -> Result<(), RequestError> {
        let now = self.dispatcher.context.now();
        let RequestMessage { client, id, method, fields, waited } = message;
        let Some(Validated { id: client_request_id, class, name }) = self.validate(&message)? else {
            return Ok(());
        };
        let bad_parameters =
            |error: ParameterError| RequestError::new(id, RequestErrorKind::invalid_params(error));
        let parameters = RequestParameters::decode(fields).map_err(bad_parameters)?;
        let arrival = self.arrival_of(&parameters, class, waited);
        log::debug!(
            "request received: request={} client={client:?} name={name} class={method} {parameters}",
            arrival.request
        );
        let teams = self.admission_queue.as_ref().map(|queue| &queue.teams);
        let team = teams.map(|teams| TeamParameters::decode(teams, fields)).transpose();
        let team = team.map_err(bad_parameters)?;
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

    /// Checks a request's class, id and name against what is open; `None` where no answer is owed.
    fn validate<'a>(&mut self, message: &RequestMessage<'a>) -> Result<Option<Validated<'a>>, RequestError> {
        let RequestMessage { client, id, method, fields, .. } = *message;
        let error = RequestError::new;
        let class = self.dispatcher.config.classes.iter().position(|name| name == method);
        let class = class.ok_or_else(|| error(id, RequestErrorKind::UnknownMethod(method.to_owned())))?;
        let Some(client_request_id) = id else { return Err(error(None, RequestErrorKind::RequestWithoutId)) };
        let Some(connection) = self.dispatcher.clients.table.get(client) else { return Ok(None) };
        if connection.open.contains_key(&client_request_id) {
            // Under that id the error would pass for the answer to the open request.
            return Err(error(None, RequestErrorKind::IdOpen));
        }
        if connection.open.len() >= MAX_OPEN_REQUESTS {
            return Err(error(id, RequestErrorKind::TooManyOpenOnConnection));
        }
        let name = parameters::request_name(fields);
        let name = name.map_err(|cause| error(id, RequestErrorKind::invalid_params(cause)))?;
        if self.is_withdrawn(client, client_request_id, name)? {
            return Ok(None);
        }
        // Engines tell requests apart by the name alone, whichever client sent them.
        if self.dispatcher.requests.is_open(name) {
            return Err(error(id, RequestErrorKind::NameOpen));
        }
        Ok(Some(Validated { id: client_request_id, class, name }))
    }

    /// Whether a client has withdrawn a request before its turn came; an error if the client has left since, so
    /// that nobody may wait for it. Keeps requests from being dispatched for nobody.
    fn is_withdrawn(&mut self, client: Slot, id: u64, name: &str) -> Result<bool, RequestError> {
        let now = self.dispatcher.context.now();
        if self.dispatcher.clients.has_ended_input(client, now) {
            return Err(RequestError::new(Some(id), RequestErrorKind::ClientLeft));
        }
        let is_withdrawn = self.dispatcher.clients.has_withdrawn(client, name, id);
        if is_withdrawn {
            self.dispatcher.context.counters.count(RequestOutcome::Withdrawn.counter());
            log::debug!("request withdrawn before it was read: name={name} client={client:?}");
        }
        Ok(is_withdrawn)
    }

    /// The request as the scheduler is given it.
    fn arrival_of(&self, parameters: &RequestParameters, class: usize, waited: Duration) -> Arrival {
        let deadline = from_ms(parameters.deadline_ms).min(MAX_DEADLINE).saturating_sub(NETWORK_ALLOWANCE);
        Arrival {
            request: self.dispatcher.requests.next_id,
            class,
            key: parameters.ordering_key,
            cost: parameters.cost,
            memory_mb: parameters.memory_mb,
            deadline,
            waited,
            is_retry: self.dispatcher.config.clients_mark_retries.then_some(parameters.is_resent),
            group: parameters.table_group,
        }
    }
}
