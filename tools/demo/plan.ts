/** Deployment of the demo: engines and services of both example workloads at a small size. */
import type * as deployments from "../support/deployment.js";

export const MENU_MODEL = "menu";
export const LAYOUT_MODEL = "layout";

/** Customer that sends the samples. */
export const LUNCH_CLUB = "lunch-club";
export const GALLERY = "gallery";
/** Customer whose key is revoked. */
export const REVOKED = "former-customer";
/** Customer that exceeds its rate several times. */
export const SURGING = "surging-customer";

export const plan: deployments.Plan = {
    models: [MENU_MODEL, LAYOUT_MODEL],
    engines: [
        { name: "menu-1", model: MENU_MODEL, dataCentre: "kremsau-a" },
        { name: "menu-2", model: MENU_MODEL, dataCentre: "kremsau-b" },
        { name: "layout-1", model: LAYOUT_MODEL, dataCentre: "budapest-a" },
        { name: "layout-2", model: LAYOUT_MODEL, dataCentre: "budapest-b" },
    ],
    bookingServices: ["kremsau-a", "budapest-a"],
    entries: ["kremsau-a", "budapest-a"],
    customers: [
        { name: LUNCH_CLUB, requestsPerSecond: 20, burst: 20 },
        { name: GALLERY, requestsPerSecond: 20, burst: 20 },
        { name: REVOKED, requestsPerSecond: 20, burst: 20 },
        { name: SURGING, requestsPerSecond: 2, burst: 4 },
    ],
};
