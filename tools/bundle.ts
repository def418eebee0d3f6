/**
 * Bundles the daemon into a few files below dist/bin.
 *
 * A restarted process has to serve requests within one second, and resolving and reading several hundred modules takes
 * more than half of that. Each role stays in files of its own, which are loaded on demand.
 */
import * as esbuild from "esbuild";

/** CommonJS libraries call `require`, which ES modules do not provide. */
const REQUIRE_BANNER = [
    'import { createRequire as __createRequire } from "node:module";',
    "const require = __createRequire(import.meta.url);",
].join(" ");

await esbuild.build({
    entryPoints: ["src/daemon/main.ts"],
    entryNames: "ibisstepd",
    outdir: "dist/bin",
    bundle: true,
    splitting: true,
    platform: "node",
    format: "esm",
    target: "node20",
    banner: { js: REQUIRE_BANNER },
    legalComments: "none",
    logLevel: "warning",
});
