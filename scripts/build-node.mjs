/**
 * Builds `target/cactusrack-node.cjs`: the program of one node on the platform, without the command line, the demo and
 * the interface documents, so that a process that is started again serves as soon as possible.
 */
import { build } from "esbuild";
import { mkdirSync } from "node:fs";
import { leaveOutNativeAddOns } from "./native-add-ons.mjs";

mkdirSync("target", { recursive: true });
await build({
    entryPoints: ["platform/main.ts"],
    bundle: true,
    minify: true,
    keepNames: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: "target/cactusrack-node.cjs",
    logLevel: "warning",
    plugins: [leaveOutNativeAddOns],
    define: { "import.meta.url": "undefined" },
});
