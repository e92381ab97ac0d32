//! Predictable answers: the same prompt always gets the same tokens.

use serde_json::Value;
use serde_json::json;

/// Tokens of an answer whose prompt names no number.
const USUAL_TOKENS: usize = 12;

/// Answer that an engine gives.
#[derive(Clone, Debug)]
pub(crate) struct Script {
    pub(crate) prompt: String,
    pub(crate) tokens: Vec<String>,
}

impl Script {
    /// Returns the answer to a chat: `tokens=N` in the prompt sets its length.
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
        let count = count.unwrap_or(USUAL_TOKENS);
        let tokens = (0..count).map(|n| format!("{word}:{n} ")).collect();
        Self {
            prompt: prompt.to_owned(),
            tokens,
        }
    }

    /// Returns the event `number`, counted from 1; two more follow the last token.
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
