/** `check`: validates an entry's settings file without starting anything. */
import { Command, Option } from "clipanion";
import { parseEntrySettings } from "../process/entry-settings/index.js";
import { BaseCommand } from "./base-command.js";
import type { ExitCode } from "./exit-code.js";

/** Validates entry settings and reports all faults at once. */
export class CheckCommand extends BaseCommand {
    static override paths = [["check"]];
    static override usage = Command.Usage({
        category: "Entry",
        description: "check the settings file of an entry",
        details: `
            Reports every fault at once, each with its path, what was found, what is allowed and the remedy.
            Exits with 0 if there is none and with 2 otherwise. Nothing is started and no entry is contacted.
        `,
        examples: [["Check a file", "$0 check --settings entry.json"]],
    });

    settings = Option.String("--settings", { required: true, description: "Path of the settings file" });

    protected override async run(): Promise<ExitCode> {
        const parsed = parseEntrySettings(await this.readTextFile(this.settings));
        return this.printFaults(parsed.kind === "faults" ? parsed.faults : [], `${this.settings}: no fault`);
    }
}
