//! Text and token counts collected from the events of a chat.

use papayatray_core::catalogue::Version;
use papayatray_core::id::VersionId;
use papayatray_core::ledger::Bill;
use serde::Deserialize;
use serde::Serialize;

use super::context::RequestContext;
use crate::engine::Event;

/// Estimated bytes of request body per prompt token, used where the endpoint reports no usage.
const BYTES_PER_TOKEN: u64 = 4;

/// Fields read from an event of a chat.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Chunk {
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

/// Choice of a chunk.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Choice {
    delta: Delta,
    finish_reason: Option<String>,
}

/// Increment of a message.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Delta {
    content: Option<String>,
}

/// Token counts, in the form endpoints report them.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Usage {
    #[serde(rename = "prompt_tokens")]
    prompt: u64,
    #[serde(rename = "completion_tokens")]
    completion: u64,
    #[serde(rename = "total_tokens")]
    total: u64,
}

/// Content of the events of a chat that have arrived so far.
#[derive(Debug, Default)]
pub(super) struct CollectedChat {
    text: String,
    keeps_text: bool,
    /// Number of events with text, the estimate of generated tokens.
    tokens: u64,
    usage: Option<Usage>,
    finish_reason: Option<String>,
}

/// Response body of a chat that is not streamed.
#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: String,
    choices: [CompletionChoice<'a>; 1],
    usage: Usage,
}

/// Choice of a [`Completion`].
#[derive(Debug, Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    message: CompletionMessage<'a>,
    finish_reason: &'a str,
}

/// Message of a [`Completion`].
#[derive(Debug, Serialize)]
struct CompletionMessage<'a> {
    role: &'static str,
    content: &'a str,
}

impl CollectedChat {
    /// Creates an empty collection; without `keeps_text` only tokens are counted.
    pub(super) fn new(keeps_text: bool) -> Self {
        Self {
            keeps_text,
            ..Self::default()
        }
    }

    /// Adds an event; one that is not a JSON chunk is ignored.
    pub(super) fn add(&mut self, event: &Event) {
        let Ok(chunk) = serde_json::from_slice::<Chunk>(&event.data) else {
            return;
        };
        self.usage = chunk.usage.or(self.usage);
        for choice in chunk.choices {
            self.finish_reason = choice.finish_reason.or(self.finish_reason.take());
            let Some(content) = choice.delta.content else {
                continue;
            };
            self.tokens += 1;
            if self.keeps_text {
                self.text.push_str(&content);
            }
        }
    }

    /// Returns the usage that the endpoint reported, or else an estimate: one generated token for
    /// each event with text, and one prompt token for [`BYTES_PER_TOKEN`] of the request body.
    fn usage(&self, request_bytes: usize) -> Usage {
        self.usage.unwrap_or_else(|| {
            let prompt = (request_bytes as u64).div_ceil(BYTES_PER_TOKEN);
            Usage {
                prompt,
                completion: self.tokens,
                total: prompt + self.tokens,
            }
        })
    }

    /// Returns the response body of a chat that is not streamed.
    pub(super) fn to_completion(
        &self,
        context: &RequestContext,
        version: &VersionId,
        request_bytes: usize,
    ) -> Vec<u8> {
        let choice = CompletionChoice {
            index: 0,
            message: CompletionMessage {
                role: "assistant",
                content: &self.text,
            },
            finish_reason: self.finish_reason.as_deref().unwrap_or("stop"),
        };
        let completion = Completion {
            id: context.key.request.as_str(),
            object: "chat.completion",
            model: version.to_string(),
            choices: [choice],
            usage: self.usage(request_bytes),
        };
        // Cannot fail: the completion holds only strings and numbers.
        serde_json::to_vec(&completion).unwrap_or_default()
    }

    /// Returns the bill of the chat.
    pub(super) fn to_bill(
        &self,
        context: &RequestContext,
        version_id: &VersionId,
        version: &Version,
        request_bytes: usize,
    ) -> Bill {
        let usage = self.usage(request_bytes);
        Bill {
            key: context.key.clone(),
            subject: version_id.to_string(),
            tokens_in: usage.prompt,
            tokens_out: usage.completion,
            cost: version.cost(usage.prompt, usage.completion),
            entry: context.entry.vm.clone(),
        }
    }
}
