/** Reads the settings file of a process. */
import * as fs from "node:fs/promises";
import * as toml from "smol-toml";
import * as outcomes from "../core/outcome.js";
import * as schema from "./schema.js";

/** Parses and validates settings. Fails with `settings-invalid`; the detail names the source and the line or path. */
export function parse(text: string, source: string): outcomes.Outcome<schema.Settings> {
    try {
        const result = schema.settings.safeParse(toml.parse(text));
        if (result.success) {
            return outcomes.succeed(result.data);
        }
        const issues = result.error.issues.map(issue => `${source}: ${issue.path.join(".")}: ${issue.message}`);
        return outcomes.fail("settings-invalid", issues.join("; "));
    }
    catch (error) {
        if (error instanceof toml.TomlError) {
            const position = `${source}:${error.line}:${error.column}`;
            return outcomes.fail("settings-invalid", `${position}: ${error.message.split("\n")[0]}`);
        }
        throw error;
    }
}

/** Reads and parses a settings file. Fails with `settings-unreadable` or `settings-invalid`. */
export async function read(path: string): Promise<outcomes.Outcome<schema.Settings>> {
    try {
        return parse(await fs.readFile(path, "utf8"), path);
    }
    catch (error) {
        return outcomes.fail("settings-unreadable", `${path}: ${(error as NodeJS.ErrnoException).code ?? "unknown"}`);
    }
}
