/** Entry point of the cactusrack program. */
import { runCommandLine } from "./command/index.js";

void runCommandLine(process.argv.slice(2)).then(code => {
    process.exitCode = code;
});
