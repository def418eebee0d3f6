/** The processes of the demo: a small mix of both deployments. */
import type * as deployments from "../support/deployment.js";

export const MENU_MODEL = "menu";
export const LAYOUT_MODEL = "layout";

/** Customer that sends the samples. */
export const CLUB = "lunch-club";
export const GALLERY = "gallery";
/** Customer whose key is revoked. */
export const FORMER = "former-customer";
/** Customer that sends several times its rate. */
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
        { name: CLUB, requestsPerSecond: 20, burst: 20 },
        { name: GALLERY, requestsPerSecond: 20, burst: 20 },
        { name: FORMER, requestsPerSecond: 20, burst: 20 },
        { name: SURGING, requestsPerSecond: 2, burst: 4 },
    ],
};
