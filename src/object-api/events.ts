/** Log events of the platform's object API and instance list. */
import type * as event from "../core/event.js";

export const events = {} as const satisfies event.EventCatalogue;
