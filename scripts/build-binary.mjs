/**
 * Builds `dist/cactusrack`: the bundled program inside a copy of the Node executable that runs this script.
 *
 * @remarks Uses Node's single executable applications: builds a bundle, makes a blob of it and injects it at the fuse.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { leaveOutNativeAddOns } from "./native-add-ons.mjs";

const require = createRequire(import.meta.url);
const { inject } = require("postject");

const FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const BUNDLE = "dist/main.cjs";
const BLOB = "dist/main.blob";
const BINARY = "dist/cactusrack";

mkdirSync("dist", { recursive: true });
await build({
    entryPoints: ["src/main.ts"],
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    outfile: BUNDLE,
    logLevel: "warning",
    plugins: [leaveOutNativeAddOns],
    define: { "import.meta.url": "undefined" },
});
writeFileSync(
    "dist/sea.json",
    JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true, useCodeCache: false }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], {
    stdio: ["ignore", "ignore", "inherit"],
});
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
await inject(BINARY, "NODE_SEA_BLOB", readFileSync(BLOB), { sentinelFuse: FUSE });
console.log(`built ${BINARY}`);
