/** The one program of cactusrack: every role and every command. */
import { runCommandLine } from "./command/index.js";

void runCommandLine(process.argv.slice(2)).then(code => {
    process.exitCode = code;
});
