/** Format of log lines and metric packets, and containment of output errors. */
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { describe, it } from "node:test";
import { createPinoLog, createSilentLog, createStatsMetrics } from "../../../process/sinks/index.js";
import { FAKE_EPOCH_MS, FakeClock } from "../../fakes/fake-clock.js";
import { waitUntil } from "../../fakes/wait-until.js";

const RECORD = {
    decision: "route",
    subject: "r1",
    branch: "services/catalogo-beni",
    treeVersion: 4,
    chosen: "w1",
    reason: "leastLoaded",
    runnersUp: ["w2"],
    tookUs: 12,
};

function openLog(options: { readonly logsDecisions?: boolean; readonly maxBufferedBytes?: number; } = {}) {
    const clock = new FakeClock();
    const lines: Record<string, unknown>[] = [];
    const log = createPinoLog({
        level: "info",
        memberId: "m1",
        clock,
        output: (bytes, finished) => {
            lines.push(...bytes.toString().trimEnd().split("\n").map(line => JSON.parse(line)));
            finished();
        },
        ...options,
    });
    return { clock, log, lines };
}

describe("createPinoLog", () => {
    const base = { time: FAKE_EPOCH_MS, member: "m1" };
    const cases = [
        {
            name: "a decision",
            write: (log: ReturnType<typeof openLog>["log"]) => log.decide(RECORD),
            expected: [{ level: "info", ...base, event: "decision", ...RECORD }],
        },
        {
            name: "a warning with its code",
            write: (log: ReturnType<typeof openLog>["log"]) =>
                log.warn("CR1301", "peerLinkClosed", { peer: "m2" }),
            expected: [{ level: "warn", ...base, code: "CR1301", event: "peerLinkClosed", peer: "m2" }],
        },
        {
            name: "nothing below its level",
            write: (log: ReturnType<typeof openLog>["log"]) => log.debug("detail"),
            expected: [],
        },
    ];
    for (const { name, write, expected } of cases) {
        it(`writes ${name}`, async () => {
            const { log, lines } = openLog();
            write(log);
            await log.close();
            assert.deepEqual(lines, expected);
        });
    }

    it("omits decisions if configured so", async () => {
        const { log, lines } = openLog({ logsDecisions: false });
        log.decide(RECORD);
        await log.close();
        assert.deepEqual(lines, []);
    });

    it("reports how many lines it dropped", async () => {
        const { clock, log, lines } = openLog({ maxBufferedBytes: 300 });
        for (let count = 0; count < 10; count++) {
            log.decide(RECORD);
        }
        await log.flush();
        await clock.step(1_000);
        await log.close();
        assert.deepEqual(lines.map(line => [line["event"], line["dropped"]]), [
            ["decision", undefined],
            ["logLinesDropped", 9],
        ]);
    });
});

describe("createStatsMetrics", () => {
    it("sends names with prefix and tags, with counts aggregated", async () => {
        const server = createSocket("udp4");
        const packets: string[] = [];
        server.on("message", packet => packets.push(...packet.toString().trim().split("\n")));
        await new Promise<void>(resolve => {
            server.bind(0, "127.0.0.1", resolve);
        });
        const metrics = createStatsMetrics({
            host: "127.0.0.1",
            port: server.address().port,
            tags: { cell: "c" },
        });
        metrics.count("requests", 1, { outcome: "done" });
        metrics.count("requests", 2, { outcome: "done" });
        metrics.gauge("slots", 8);
        metrics.time("wait", 5);
        await metrics.close();
        await waitUntil(() => packets.length >= 3, "the packets");
        assert.deepEqual(packets.sort(), [
            "cactusrack.requests:3|c|#cell:c,outcome:done",
            "cactusrack.slots:8|g|#cell:c",
            "cactusrack.wait:5|ms|#cell:c",
        ]);
        server.close();
    });

    it("accepts metrics without a server, and after close", async () => {
        const metrics = createStatsMetrics({ host: "127.0.0.1", port: 1 });
        metrics.count("requests");
        for (let value = 0; value < 500; value++) {
            metrics.time("wait", value);
        }
        await metrics.close();
        metrics.gauge("slots", 1);
        metrics.time("wait", 1);
    });
});

it("a silent log accepts everything", () => {
    const log = createSilentLog();
    log.decide(RECORD);
    log.warn("CR1", "event");
});
