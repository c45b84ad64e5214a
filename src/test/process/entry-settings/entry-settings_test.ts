/** Validation of entry settings: each fault is reported with its path and remedy. */
import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { parseEntrySettings } from "../../../process/entry-settings/index.js";

const valid = {
    memberName: "entry-1",
    cell: "porte-aperte",
    failureDomain: "sala-milano",
    peers: { listen: { host: "127.0.0.1", port: 0 }, secret: "0123456789abcdef" },
    http: { listen: { host: "127.0.0.1", port: 0 } },
    platform: { store: "http://127.0.0.1:2400", vmList: "http://127.0.0.1:2500" },
};

describe("parseEntrySettings", () => {
    it("fills in defaults", () => {
        const parsed = parseEntrySettings(JSON.stringify(valid));
        assert.equal(parsed.kind, "valid", JSON.stringify(parsed));
        const settings = parsed.kind === "valid" ? parsed.value : assert.fail();
        assert.equal(settings.logLevel, "info");
        assert.equal(settings.limits.maxHeaderBytes, 16_384);
        assert.deepEqual(settings.operators, []);
    });

    const hash = "ab".repeat(32);
    const cases: readonly { name: string; change: object; path: string; remedy: RegExp; }[] = [
        { name: "a missing field", change: { cell: undefined }, path: "cell", remedy: /add the field/ },
        { name: "an unknown field", change: { loglevel: "info" }, path: "loglevel", remedy: /"logLevel"/ },
        {
            name: "a host name in place of an IP number",
            change: { peers: { ...valid.peers, listen: { host: "localhost", port: 1 } } },
            path: "peers.listen.host",
            remedy: /IP number/,
        },
        {
            name: "a store URL with a path",
            change: { platform: { ...valid.platform, store: "http://127.0.0.1:2400/v1" } },
            path: "platform.store",
            remedy: /without a path/,
        },
        {
            name: "a port out of range",
            change: { http: { listen: { host: "127.0.0.1", port: 70_000 } } },
            path: "http.listen.port",
            remedy: /65535/,
        },
        {
            name: "a duration with a unit",
            change: { shutdownMs: "20s" },
            path: "shutdownMs",
            remedy: /20000/,
        },
        {
            name: "a short secret",
            change: { peers: { ...valid.peers, secret: "short" } },
            path: "peers.secret",
            remedy: /16 to 256/,
        },
        {
            name: "a wildcard address without an advertised one",
            change: { http: { listen: { host: "0.0.0.0", port: 80 } } },
            path: "http.advertise",
            remedy: /http\.advertise\.host/,
        },
        {
            name: "a request timeout below the headers timeout",
            change: { limits: { headersTimeoutMs: 9_000, requestTimeoutMs: 8_000 } },
            path: "limits.requestTimeoutMs",
            remedy: /raise limits\.requestTimeoutMs to 9000/,
        },
        {
            name: "two operators with one token",
            change: { operators: [{ name: "a", tokenSha256: hash }, { name: "b", tokenSha256: hash }] },
            path: "operators.1.tokenSha256",
            remedy: /token of their own/,
        },
    ];
    for (const { name, change, path, remedy } of cases) {
        it(`refuses ${name}`, () => {
            const parsed = parseEntrySettings(JSON.stringify({ ...valid, ...change }));
            const faults = parsed.kind === "faults" ? parsed.faults : [];
            assert.equal(faults.length, 1, JSON.stringify(parsed));
            assert.equal(faults[0]?.path, path);
            assert.match(faults[0]?.remedy ?? "", remedy);
        });
    }

    it("never includes a refused secret in a fault", () => {
        const parsed = parseEntrySettings(
            JSON.stringify({ ...valid, peers: { ...valid.peers, secret: "hunter2" } }),
        );
        assert.doesNotMatch(JSON.stringify(parsed), /hunter2/);
    });
});
