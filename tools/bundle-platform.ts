/** Bundles the platform program into a few files below target/, since the platform charges startup time in full. */
import * as esbuild from "esbuild";

await esbuild.build({
    entryPoints: ["platform/main.ts"],
    entryNames: "ibisstep",
    outdir: "target",
    bundle: true,
    splitting: true,
    platform: "node",
    format: "esm",
    target: "node20",
    minify: true,
    legalComments: "none",
    logLevel: "warning",
});
