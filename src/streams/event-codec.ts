/** Converts between stream events and their protocol buffer messages. */
import * as protobuf from "@bufbuild/protobuf";
import * as failureCodec from "../rpc/failure-codec.js";
import * as agent from "../rpc/gen/ibisstep/v1/agent_pb.js";
import type * as types from "./types.js";

/** Returns undefined for a message without a known event; the stream is then incomplete. */
export function decode(message: agent.GenerateEvent): types.StreamEvent | undefined {
    const body = decodeBody(message);
    const { requestId, attempt, sequence } = message;
    return body === undefined ? undefined : { requestId, attempt, sequence, body };
}

export function encode(event: types.StreamEvent, manifestVersion: number): agent.GenerateEvent {
    return protobuf.create(agent.GenerateEventSchema, {
        requestId: event.requestId,
        attempt: event.attempt,
        sequence: event.sequence,
        event: encodeBody(event.body),
        manifestVersion: BigInt(manifestVersion),
    });
}

function decodeBody(message: agent.GenerateEvent): types.EventBody | undefined {
    const { event } = message;
    switch (event.case) {
        case "started": {
            const { promptTokens, cachedTokens, engineBoot } = event.value;
            return { type: "started", promptTokens, cachedTokens, engineBoot, load: decodeLoad(event.value.load) };
        }
        case "token":
            return { type: "token", index: event.value.index, text: event.value.text };
        case "ended": {
            const { count, reason } = event.value;
            return reason === "stop" || reason === "length"
                ? { type: "ended", count, reason, load: decodeLoad(event.value.load) }
                : undefined;
        }
        case "failed":
            return { type: "failed", failure: failureCodec.decode(event.value) };
        case "redirected":
            return {
                type: "redirected",
                betterAddress: event.value.betterAddress,
                load: decodeLoad(event.value.load),
            };
        default:
            return undefined;
    }
}

function decodeLoad(load: agent.ServerLoad | undefined): types.ServerLoad | undefined {
    return load && { queuedTokens: Number(load.queuedTokens), running: load.running, waiting: load.waiting };
}

function encodeLoad(load: types.ServerLoad | undefined) {
    return load && { ...load, queuedTokens: BigInt(Math.round(load.queuedTokens)) };
}

function encodeBody(body: types.EventBody): protobuf.MessageInitShape<typeof agent.GenerateEventSchema>["event"] {
    switch (body.type) {
        case "started": {
            const { promptTokens, cachedTokens, engineBoot } = body;
            const load = encodeLoad(body.load);
            return { case: "started", value: { promptTokens, cachedTokens, engineBoot, load } };
        }
        case "token":
            return { case: "token", value: { index: body.index, text: body.text } };
        case "ended":
            return { case: "ended", value: { count: body.count, reason: body.reason, load: encodeLoad(body.load) } };
        case "failed":
            return { case: "failed", value: failureCodec.encode(body.failure) };
        case "redirected":
            return {
                case: "redirected",
                value: { betterAddress: body.betterAddress, load: encodeLoad(body.load) },
            };
    }
}
