//! What an answer amounts to: its text and its tokens.

use papayatray_core::catalogue::Version;
use papayatray_core::id::VersionId;
use papayatray_core::ledger::Bill;
use serde::Deserialize;
use serde::Serialize;

use super::ask::Ask;
use crate::engine::Event;

/// Bytes of a prompt that count as one token where the endpoint does not tell.
const BYTES_PER_TOKEN: u64 = 4;

/// Event of a chat, as far as it is read.
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

/// Piece of an answer.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct Delta {
    content: Option<String>,
}

/// Tokens as the endpoint counts them.
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

/// Answer so far.
#[derive(Debug, Default)]
pub(super) struct Collected {
    text: String,
    keeps_text: bool,
    tokens: u64,
    usage: Option<Usage>,
    finish: Option<String>,
}

/// Whole answer of a chat.
#[derive(Debug, Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'static str,
    model: String,
    choices: [Answer<'a>; 1],
    usage: Usage,
}

/// Choice of a whole answer.
#[derive(Debug, Serialize)]
struct Answer<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'a str,
}

/// Message of a whole answer.
#[derive(Debug, Serialize)]
struct Message<'a> {
    role: &'static str,
    content: &'a str,
}

impl Collected {
    /// Creates an answer that keeps its text or only counts it.
    pub(super) fn new(keeps_text: bool) -> Self {
        Self {
            keeps_text,
            ..Self::default()
        }
    }

    /// Takes in an event.
    pub(super) fn add(&mut self, event: &Event) {
        let Ok(chunk) = serde_json::from_slice::<Chunk>(&event.data) else {
            return;
        };
        self.usage = chunk.usage.or(self.usage);
        for choice in chunk.choices {
            self.finish = choice.finish_reason.or(self.finish.take());
            let Some(content) = choice.delta.content else {
                continue;
            };
            self.tokens += 1;
            if self.keeps_text {
                self.text.push_str(&content);
            }
        }
    }

    /// Returns the tokens, as the endpoint counts them or as they were seen.
    fn usage(&self, prompt_bytes: usize) -> Usage {
        self.usage.unwrap_or_else(|| {
            let prompt = (prompt_bytes as u64).div_ceil(BYTES_PER_TOKEN);
            Usage {
                prompt,
                completion: self.tokens,
                total: prompt + self.tokens,
            }
        })
    }

    /// Returns the whole answer as JSON.
    pub(super) fn to_completion(
        &self,
        ask: &Ask,
        version: &VersionId,
        prompt_bytes: usize,
    ) -> Vec<u8> {
        let answer = Answer {
            index: 0,
            message: Message {
                role: "assistant",
                content: &self.text,
            },
            finish_reason: self.finish.as_deref().unwrap_or("stop"),
        };
        let completion = Completion {
            id: ask.key.request.as_str(),
            object: "chat.completion",
            model: version.to_string(),
            choices: [answer],
            usage: self.usage(prompt_bytes),
        };
        // Texts and numbers always have a JSON form.
        serde_json::to_vec(&completion).unwrap_or_default()
    }

    /// Returns the bill.
    pub(super) fn to_bill(
        &self,
        ask: &Ask,
        id: &VersionId,
        version: &Version,
        prompt_bytes: usize,
    ) -> Bill {
        let usage = self.usage(prompt_bytes);
        Bill {
            key: ask.key.clone(),
            subject: id.to_string(),
            tokens_in: usage.prompt,
            tokens_out: usage.completion,
            cost: version.cost(usage.prompt, usage.completion),
            entry: ask.entry.vm.clone(),
        }
    }
}
