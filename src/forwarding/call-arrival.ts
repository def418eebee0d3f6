/** Takes in a call: checks its head, reads its body and charges it. */
import type * as http from "node:http";
import type * as event from "../core/event.js";
import * as admissions from "./call-admission.js";
import * as memoryOwners from "./memory-owner.js";
import type * as types from "./types.js";
import * as uploads from "./upload.js";

/** What a call that is taken in tells the one who handles it. */
export interface ArrivalListener {
    /** The body is wanted. */
    readonly onAccept: () => void;
    /** The head has passed the checks; again if they were repeated after a change of the configuration. */
    readonly onAccepted: (accepted: admissions.AcceptedCall) => void;
    /** `cancel` ends the upload; undefined once it is over. */
    readonly onUpload: (cancel: (() => void) | undefined) => void;
    /** The memory of the body, to be released by the one who handles the call. */
    readonly onBody: (memory: Disposable) => void;
    readonly isFinished: () => boolean;
    readonly log: (name: event.EventName, fields: event.Fields) => void;
}

/** Undefined if the call was cancelled. */
export async function receive(
    ports: types.CallPorts,
    arrival: admissions.Arrival,
    listener: ArrivalListener,
): Promise<admissions.Admission | admissions.Refusal | undefined> {
    const accepted = admissions.acceptHead(ports, arrival);
    if (accepted.kind === "refused") {
        return accepted;
    }
    listener.onAccepted(accepted);
    const received = await receiveBody(ports, arrival.request, accepted, listener);
    if (listener.isFinished() || received.kind === "aborted") {
        return undefined;
    }
    if (received.kind === "refused") {
        return received;
    }
    const confirmed = admissions.reauthorize(ports, arrival, accepted);
    if (confirmed.kind === "refused") {
        return confirmed;
    }
    listener.onAccepted(confirmed);
    return admissions.admit(ports, arrival.request, confirmed, received.body);
}

async function receiveBody(
    ports: types.CallPorts,
    request: http.IncomingMessage,
    accepted: admissions.AcceptedCall,
    listener: ArrivalListener,
): Promise<uploads.UploadResult> {
    const upload = new uploads.Upload(ports, {
        request,
        owner: memoryOwners.memoryOwner(accepted.customer, request),
        deadlineAt: accepted.deadlineAt,
        limitBytes: accepted.table.configuration.limits.bodyBytes,
        onAccept: listener.onAccept,
    });
    listener.onUpload(() => upload.cancel());
    const received = await upload.receive();
    listener.onUpload(undefined);
    if (received.kind === "body") {
        listener.onBody(received.memory);
    }
    if (upload.waitedMs >= 1) {
        listener.log("call-waits", { reason: "memory", waitedMs: Math.round(upload.waitedMs) });
    }
    return received;
}
