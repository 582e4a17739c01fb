//! The transcript of a test: what the peers of the router received, and its counters at exit.

use super::client::TestClient;
use super::engine::TestEngine;
use super::log_lines;
use super::process::RouterHarness;
use std::fmt::Display;
use std::io::Read;

impl RouterHarness {
    /// Adds a line to the transcript.
    pub fn record(&mut self, line: impl Display) -> &mut Self {
        self.transcript.push_str(&format!("{line}\n"));
        self
    }

    /// Adds the next command sent to an engine to the transcript.
    pub fn record_command(&mut self, engine: &mut TestEngine) -> &mut Self {
        self.record(engine.next_command())
    }

    /// Adds the next commands sent to an engine to the transcript.
    pub fn record_commands(&mut self, engine: &mut TestEngine, count: usize) -> &mut Self {
        for _ in 0..count {
            self.record_command(engine);
        }
        self
    }

    /// Adds the next call to an engine to the transcript. Drops other commands before it. Returns the call's request.
    pub fn record_next_call(&mut self, engine: &mut TestEngine) -> u64 {
        let (request, text) = engine.take_call();
        self.record(text);
        request
    }

    /// Adds the next line sent to a client to the transcript.
    pub fn record_answer(&mut self, client: &mut TestClient) -> &mut Self {
        self.record(client.read_line())
    }

    /// Adds the next lines sent to a client to the transcript.
    pub fn record_answers(&mut self, client: &mut TestClient, count: usize) -> &mut Self {
        for _ in 0..count {
            self.record_answer(client);
        }
        self
    }

    /// Sends a request, and adds the next command sent to the engine to the transcript.
    pub fn record_forwarded(
        &mut self,
        client: &mut TestClient,
        engine: &mut TestEngine,
        id: u64,
        class: &str,
    ) -> &mut Self {
        client.send_request(id, class);
        self.record_command(engine)
    }

    /// Has the engine answer a request with `rows`, and adds the client's answer to the transcript.
    pub fn record_result(
        &mut self,
        client: &mut TestClient,
        engine: &mut TestEngine,
        id: u64,
        rows: &str,
    ) -> &mut Self {
        engine.send_result(id, rows);
        self.record_answer(client)
    }

    /// Sends a request, which the engine answers with `rows`. Adds the call and the answer to the transcript.
    pub fn record_served(
        &mut self,
        client: &mut TestClient,
        engine: &mut TestEngine,
        id: u64,
        class: &str,
        rows: &str,
    ) -> &mut Self {
        self.record_forwarded(client, engine, id, class).record_result(client, engine, id, rows)
    }

    /// Answers the further calls to an engine, and records their requests in ascending order; see
    /// [`TestEngine::answer_calls`].
    pub fn record_further_calls(&mut self, engine: &mut TestEngine, expected_count: usize) -> &mut Self {
        let mut requests = engine.answer_calls(expected_count);
        requests.sort_unstable();
        self.record(format!("further calls: {requests:?}"))
    }

    /// Shuts the router down gracefully. Returns the transcript, which ends with the exit status and with those of the
    /// named counters that are not 0.
    pub fn finish(&mut self, counters: &[&str]) -> String {
        if self.process.try_wait().expect("the process can be waited for").is_none() {
            self.signal("-TERM");
        }
        let status = self.process.wait().expect("the process can be waited for");
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log is UTF-8");
        let at_exit =
            log.lines().rfind(|line| line.contains(log_lines::COUNTERS_AT_EXIT)).unwrap_or_default();
        let is_named =
            |counter: &&str| counter.split('=').next().is_some_and(|name| counters.contains(&name));
        let values: Vec<&str> = at_exit.split(' ').filter(is_named).collect();
        self.record(format!("exit status {:?}: {}", status.code(), values.join(" ")));
        std::mem::take(&mut self.transcript)
    }
}
