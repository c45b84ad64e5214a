/** A real server on loopback with fake gateways, and TCP clients that can violate HTTP. */
import { subscribe } from "node:diagnostics_channel";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { afterEach } from "node:test";
import { systemClock } from "../../../common/clock.js";
import type { Clock } from "../../../common/clock.js";
import { createRandom } from "../../../common/random.js";
import { HttpServer } from "../../../connection/http/index.js";
import type { HttpLimits } from "../../../connection/http/index.js";
import {
    createFakeSettings,
    FakeGateway,
    hashToken,
    OPERATOR_TOKEN,
    TEAM_TOKEN,
} from "../../fakes/fake-gateway.js";
import { FakeOperatorGateway } from "../../fakes/fake-operator-gateway.js";
import { createFakeLog, createFakeMetrics } from "../../fakes/fake-telemetry.js";

const HOST = "127.0.0.1";

const opened: { close(): unknown; }[] = [];
afterEach(async () => {
    await Promise.all(opened.splice(0).map(item => item.close()));
});

/** A received reply, in the form that the tests compare. */
export interface TestReply {
    readonly status: number;
    readonly headers: Headers;
    readonly text: string;
    // Untyped, since the tests read bodies of many shapes.
    readonly json: () => Record<string, unknown>;
}

/** The server's ends of the connections, by the client's port. */
const accepted = new Map<number | undefined, Socket>();
subscribe("net.server.socket", message => {
    const { socket } = message as { socket: Socket; };
    accepted.set(socket.remotePort, socket);
});

export async function openHttp(limits: Partial<HttpLimits> = {}, clock: Clock = systemClock, port = 0) {
    const gateway = new FakeGateway();
    const operators = new FakeOperatorGateway();
    const log = createFakeLog(true);
    const metrics = createFakeMetrics();
    const server = new HttpServer({
        host: HOST,
        port,
        random: createRandom(5),
        clock,
        log,
        metrics,
        callers: gateway,
        operators,
        settings: createFakeSettings(),
        operatorTokens: [{ name: "anna", sha256: hashToken(OPERATOR_TOKEN) }],
        limits,
    });
    await server.open();
    opened.push({ close: () => server.close(0) });
    async function send(
        method: string,
        path: string,
        init: RequestInit & { token?: string; } = {},
    ): Promise<TestReply> {
        const { token = TEAM_TOKEN, headers, ...rest } = init;
        const authorization = token === "" ? undefined : { authorization: `Bearer ${token}` };
        const response = await fetch(`http://${HOST}:${server.port}${path}`, {
            method,
            headers: { ...authorization, ...headers as Record<string, string> },
            ...rest,
        });
        const text = await response.text();
        return { status: response.status, headers: response.headers, text, json: () => JSON.parse(text) };
    }
    return { server, gateway, operators, log, metrics, send };
}

/**
 * Opens a TCP connection and records what it receives.
 * @param allowHalfOpen - Whether the client can still send after the server has ended its side.
 */
export function openSocket(port: number, allowHalfOpen = false) {
    const socket = connect({ port, host: HOST, allowHalfOpen });
    const state = { received: "", closed: false };
    socket.on("data", chunk => {
        state.received += chunk.toString();
    });
    socket.on("close", () => {
        state.closed = true;
    });
    socket.on("error", () => undefined);
    opened.push({ close: () => socket.destroy() });
    let localPort: number | undefined;
    socket.on("connect", () => {
        localPort = socket.localPort;
    });
    /** Returns the number of bytes that the server has read from this connection. */
    const countRead = () => accepted.get(localPort)?.bytesRead ?? 0;
    /** Returns whether the server has closed this connection. */
    const isClosedByServer = () => accepted.get(localPort)?.destroyed === true;
    return { socket, state, countRead, isClosedByServer };
}

/** Builds the head of a request with a team's token. */
export function buildHead(method: string, path: string, headers: readonly string[] = []): string {
    const lines = [
        `${method} ${path} HTTP/1.1`,
        "host: x",
        `authorization: Bearer ${TEAM_TOKEN}`,
        ...headers,
    ];
    return `${lines.join("\r\n")}\r\n\r\n`;
}
