/** Builds the nodes' program where a run wants it. */
import { execFileSync } from "node:child_process";

/**
 * Builds the program.
 * @param path - File to write.
 */
export function buildProgram(path: string): void {
    execFileSync(process.execPath, ["scripts/build-node.mjs", path], { stdio: "inherit" });
}
