/** Parses OpenAI chat completion requests and renders their messages as a canonical prompt. */
import * as zod from "zod";
import * as outcomes from "../core/outcome.js";

/** Token limit of a response when the request sets none. */
const DEFAULT_MAX_TOKENS = 1024;
/** Validation issues that one error message contains at most. */
const MAXIMUM_REPORTED_ISSUES = 5;

const textPartSchema = zod.object({ type: zod.literal("text", "only text parts are supported"), text: zod.string() });

const messageSchema = zod.object({
    role: zod.enum(["system", "developer", "user", "assistant", "tool"]),
    content: zod.union([zod.string(), zod.array(textPartSchema)], "expected a string or an array of text parts"),
    name: zod.string().regex(/^[A-Za-z0-9_-]{1,64}$/, "expected at most 64 letters, digits, '_' or '-'").optional(),
});

const tokenLimitSchema = zod.int().positive().optional();

const requestSchema = zod.object({
    model: zod.string().min(1),
    messages: zod.array(messageSchema).min(1, "expected at least one message"),
    stream: zod.boolean().default(false),
    max_tokens: tokenLimitSchema,
    max_completion_tokens: tokenLimitSchema,
    // Rejected because a single choice in response to a request for several would be incorrect.
    n: zod.literal(1, "only one choice is supported").optional(),
});

/** Message with its text parts joined. */
export interface Message {
    readonly role: "system" | "developer" | "user" | "assistant" | "tool";
    readonly content: string;
    readonly name?: string;
}

export interface ChatRequest {
    readonly model: string;
    readonly messages: readonly Message[];
    readonly stream: boolean;
    /** Maximum number of tokens in the response. */
    readonly maxTokens: number;
}

/** Parses a request body. Fails with `chat-request-invalid`; its detail contains field paths but no field values. */
export function parse(body: unknown): outcomes.Outcome<ChatRequest> {
    const result = requestSchema.safeParse(body);
    if (!result.success) {
        const descriptions = result.error.issues.slice(0, MAXIMUM_REPORTED_ISSUES).map(issue => {
            const path = issue.path.map(part => typeof part === "number" ? `[${part}]` : `.${String(part)}`).join("");
            return `${path === "" ? "(body)" : path.replace(/^\./, "")}: ${issue.message}`;
        });
        return outcomes.fail("chat-request-invalid", descriptions.join("; "));
    }
    const { model, messages, stream, max_tokens: legacyMaxTokens, max_completion_tokens: maxCompletionTokens } =
        result.data;
    return outcomes.succeed({
        model,
        stream,
        messages: messages.map(({ role, content, name }) => ({ role, content: textOf(content), name })),
        maxTokens: maxCompletionTokens ?? legacyMaxTokens ?? DEFAULT_MAX_TOKENS,
    });
}

/**
 * Renders messages as a canonical prompt. Conversations with a common prefix, which may end within a message, produce
 * prompts with a common prefix. Text that resembles a delimiter is escaped, so different messages produce different
 * prompts.
 */
export function renderPrompt(messages: readonly Message[]): string {
    const turns = messages.map(message =>
        `${messageHeader(message.role, message.name)}${escapeDelimiters(message.content)}<|end|>\n`
    );
    return turns.join("") + messageHeader("assistant");
}

function textOf(content: string | readonly { readonly text: string; }[]): string {
    return typeof content === "string" ? content : content.map(part => part.text).join("");
}

function messageHeader(role: string, name?: string): string {
    return name === undefined ? `<|${role}|>\n` : `<|${role}:${name}|>\n`;
}

/** Puts a backslash before each "|" that follows "<" and any number of backslashes. */
function escapeDelimiters(text: string): string {
    return text.replaceAll(/(<\\*)\|/g, "$1\\|");
}
