/** Settings of an entry process: the file, its checks and its defaults. */
import { type Checked, parseJson, validateBySchema } from "../../version/index.js";
import type { SettingsFault } from "../operator-gateway.js";
import { type EntrySettings, entrySettingsSchema } from "./entry-schema.js";

export { type EntrySettings, entrySettingsSchema, LOG_LEVELS } from "./entry-schema.js";

/**
 * Parses the text of an entry's settings file.
 * @param text - JSON text.
 * @returns The settings with defaults filled in, or every fault.
 */
export function parseEntrySettings(text: string): Checked<EntrySettings> {
    const parsed = parseJson(text, "entry settings");
    if (parsed.kind === "faults") {
        return parsed;
    }
    const checked = validateBySchema<EntrySettings>(entrySettingsSchema, parsed.value);
    if (checked.kind === "faults") {
        return checked;
    }
    const faults = checkTogether(checked.value);
    return faults.length > 0 ? { kind: "faults", faults } : checked;
}

/** Rules between fields. */
function checkTogether(settings: EntrySettings): readonly SettingsFault[] {
    return [
        ...checkReachable("peers", settings.peers),
        ...checkReachable("http", settings.http),
        ...checkTimes(settings),
        ...checkOperators(settings),
    ];
}

const EVERY_INTERFACE = new Set(["0.0.0.0", "::"]);

/** Without an address of its own in the ownership table, others would dial their own machine. */
function checkReachable(
    path: string,
    { listen, advertise }: EntrySettings["http"],
): readonly SettingsFault[] {
    if (advertise !== undefined || !EVERY_INTERFACE.has(listen.host)) {
        return [];
    }
    return [{
        path: `${path}.advertise`,
        found: `nothing, with ${path}.listen.host "${listen.host}"`,
        allowed: "an IP number at which others reach this process",
        remedy: `add ${path}.advertise.host, or listen on one IP number`,
    }];
}

function checkTimes({ limits }: EntrySettings): readonly SettingsFault[] {
    return limits.requestTimeoutMs >= limits.headersTimeoutMs ? [] : [{
        path: "limits.requestTimeoutMs",
        found: `requestTimeoutMs ${limits.requestTimeoutMs} with headersTimeoutMs ${limits.headersTimeoutMs}`,
        allowed: "at least headersTimeoutMs, since the head is part of the request",
        remedy: `raise limits.requestTimeoutMs to ${limits.headersTimeoutMs}`,
    }];
}

function checkOperators({ operators }: EntrySettings): readonly SettingsFault[] {
    const seen = new Map<string, number>();
    return operators.flatMap(({ tokenSha256 }, index) => {
        const other = seen.get(tokenSha256);
        seen.set(tokenSha256, index);
        return other === undefined ? [] : [{
            path: `operators.${index}.tokenSha256`,
            found: `the token of operators.${other}`,
            allowed: "a token that no other operator has",
            remedy: "give each operator a token of their own, so that the history tells them apart",
        }];
    });
}
