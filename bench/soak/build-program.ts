/** Builds the node program that the soak starts. */
import { execFileSync } from "node:child_process";

/**
 * Builds the node program with `scripts/build-node.mjs`.
 * @param path - Output file.
 */
export function buildProgram(path: string): void {
    execFileSync(process.execPath, ["scripts/build-node.mjs", path], { stdio: "inherit" });
}
