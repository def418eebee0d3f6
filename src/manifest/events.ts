/** Log events of manifests. */
import type * as event from "../core/event.js";

export const events = {} as const satisfies event.EventCatalogue;
