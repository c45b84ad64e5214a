/** Settings of an entry process: parsing, validation and defaults. */
import { type Checked, parseJson, validateBySchema } from "../../version/index.js";
import type { SettingsFault } from "../operator-gateway.js";
import { type EntrySettings, entrySettingsSchema } from "./entry-schema.js";

export { type EntrySettings, entrySettingsSchema, LOG_LEVELS } from "./entry-schema.js";

/**
 * Parses the text of an entry's settings file.
 * @param text - JSON text.
 * @returns The settings with defaults filled in, or all faults.
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
    const faults = checkAcrossFields(checked.value);
    return faults.length > 0 ? { kind: "faults", faults } : checked;
}

/** Checks the rules that involve more than one field. */
function checkAcrossFields(settings: EntrySettings): readonly SettingsFault[] {
    return [
        ...checkAdvertisedHost("peers", settings.peers),
        ...checkAdvertisedHost("http", settings.http),
        ...checkTimeouts(settings),
        ...checkOperators(settings),
    ];
}

const WILDCARD_HOSTS = new Set(["0.0.0.0", "::"]);

/** A wildcard address in the ownership table would make other members connect to their own host. */
function checkAdvertisedHost(
    path: string,
    { listen, advertise }: EntrySettings["http"],
): readonly SettingsFault[] {
    if (advertise !== undefined || !WILDCARD_HOSTS.has(listen.host)) {
        return [];
    }
    return [{
        path: `${path}.advertise`,
        found: `nothing, with ${path}.listen.host "${listen.host}"`,
        allowed: "an IP number at which others reach this process",
        remedy: `add ${path}.advertise.host, or listen on one IP number`,
    }];
}

function checkTimeouts({ limits }: EntrySettings): readonly SettingsFault[] {
    return limits.requestTimeoutMs >= limits.headersTimeoutMs ? [] : [{
        path: "limits.requestTimeoutMs",
        found: `requestTimeoutMs ${limits.requestTimeoutMs} with headersTimeoutMs ${limits.headersTimeoutMs}`,
        allowed: "at least headersTimeoutMs, since the head is part of the request",
        remedy: `raise limits.requestTimeoutMs to ${limits.headersTimeoutMs}`,
    }];
}

function checkOperators({ operators }: EntrySettings): readonly SettingsFault[] {
    const indexByToken = new Map<string, number>();
    return operators.flatMap(({ tokenSha256 }, index) => {
        const earlierIndex = indexByToken.get(tokenSha256);
        indexByToken.set(tokenSha256, index);
        return earlierIndex === undefined ? [] : [{
            path: `operators.${index}.tokenSha256`,
            found: `the token of operators.${earlierIndex}`,
            allowed: "a token that no other operator has",
            remedy: "give each operator a token of their own, so that the history tells them apart",
        }];
    });
}
