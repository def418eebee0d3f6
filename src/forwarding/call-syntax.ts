/** Checks that a call can be sent on as it arrived: the parser accepts bytes in it that HTTP does not allow in a request. */
import * as http from "node:http";

/** Characters that a request target cannot hold: controls, such as a tab, and spaces. */
const FORBIDDEN_TARGET_CHARACTERS = /[^\u0021-\u00ff]/;

/** What is malformed in the head of a call; undefined if nothing is. */
export function malformation(
    { url, rawHeaders }: Pick<http.IncomingMessage, "url" | "rawHeaders">,
): string | undefined {
    if (FORBIDDEN_TARGET_CHARACTERS.test(url ?? "")) {
        return "a character in the path that has to be escaped";
    }
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        if (!isValidHeader(rawHeaders[index]!, rawHeaders[index + 1]!)) {
            return `header ${index / 2 + 1} is malformed`;
        }
    }
    return undefined;
}

function isValidHeader(name: string, value: string): boolean {
    try {
        http.validateHeaderName(name);
        http.validateHeaderValue(name, value);
        return true;
    }
    catch {
        return false;
    }
}
