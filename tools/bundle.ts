/**
 * Bundles the daemon into a few files below dist/bin.
 *
 * Finding and reading several hundred modules takes longer than half of the second in which a restarted process has to
 * serve. Roles stay apart, since each is loaded on demand.
 */
import * as esbuild from "esbuild";

/** Libraries in CommonJS call `require`, which modules do not have. */
const REQUIRE = [
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
    banner: { js: REQUIRE },
    legalComments: "none",
    logLevel: "warning",
});
