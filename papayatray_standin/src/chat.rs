//! Predictable chat responses: the same prompt always yields the same tokens.

use serde_json::Value;
use serde_json::json;

/// Number of tokens in a response if the prompt does not set one.
const DEFAULT_TOKENS: usize = 12;

/// Response that an engine streams for a prompt.
#[derive(Clone, Debug)]
pub(crate) struct ScriptedResponse {
    /// Content of the last message of the request.
    pub(crate) prompt: String,
    pub(crate) tokens: Vec<String>,
}

impl ScriptedResponse {
    /// Returns the response to a chat request; `tokens=N` in the prompt sets its length.
    pub(crate) fn new(body: &Value) -> Self {
        let messages = body.get("messages").and_then(Value::as_array);
        let last = messages.and_then(|messages| messages.last());
        let prompt = last
            .and_then(|m| m.get("content"))
            .and_then(Value::as_str)
            .unwrap_or_default();
        let count = prompt.split("tokens=").nth(1).and_then(|rest| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse().ok()
        });
        let word = prompt.split_whitespace().next().unwrap_or("empty");
        let count = count.unwrap_or(DEFAULT_TOKENS);
        let tokens = (0..count).map(|n| format!("{word}:{n} ")).collect();
        Self {
            prompt: prompt.to_owned(),
            tokens,
        }
    }

    /// Returns event `number`, counted from 1, or `None` after the last one.
    ///
    /// The events are one for each token, then one with the usage, then one with `[DONE]`.
    pub(crate) fn event(&self, number: usize, model: &str) -> Option<String> {
        let chunk = |delta: Value, finish: Value| {
            json!({
                "object": "chat.completion.chunk",
                "model": model,
                "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
            })
        };
        let count = self.tokens.len();
        if let Some(token) = self.tokens.get(number - 1) {
            let data = chunk(json!({"content": token}), Value::Null);
            return Some(format!("id: {number}\ndata: {data}\n\n"));
        }
        if number == count + 1 {
            let mut data = chunk(json!({}), json!("stop"));
            let prompt = self.prompt.split_whitespace().count();
            data["usage"] = json!({
                "prompt_tokens": prompt,
                "completion_tokens": count,
                "total_tokens": prompt + count,
            });
            return Some(format!("id: {number}\ndata: {data}\n\n"));
        }
        (number == count + 2).then(|| format!("id: {number}\ndata: [DONE]\n\n"))
    }
}
