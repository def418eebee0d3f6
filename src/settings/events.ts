/** Log events of process settings. */
import type * as event from "../core/event.js";

export const events = {} as const satisfies event.EventCatalogue;
