/** Fields of a log line. Values are primitive and never contain API keys or prompts. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;
