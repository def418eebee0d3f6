/** RPC service through which other processes exchange documents with this one. */
import type * as connect from "@connectrpc/connect";
import type * as event from "../core/event.js";
import type * as messages from "../rpc/gen/ibisstep/v1/peer_pb.js";
import * as codec from "./codec.js";
import type * as responders from "./responder.js";
import type * as types from "./types.js";

/** Creates the implementation of `PeerService` for the RPC server. */
export function createPeerService(
    responder: responders.PeerResponder,
    journal: event.Journal,
): connect.ServiceImpl<typeof messages.PeerService> {
    return {
        push: request => ({
            newer: responder.push(decode(request.documents, journal)).map(codec.encodeDocument),
        }),
        compare: request => {
            const reply = responder.compare({
                totalHash: request.totalHash,
                buckets: request.buckets,
                versions: request.versions.map(({ name, version }) => ({ name, version: Number(version) })),
                storeAgeMs: codec.decodeAge(request.storeAgeMs),
            });
            return {
                equal: reply.equal,
                bucketHashes: [...reply.bucketHashes],
                newer: reply.newer.map(codec.encodeDocument),
                wanted: [...reply.wanted],
                storeAgeMs: codec.encodeAge(reply.storeAgeMs),
            };
        },
        fetch: request => ({ documents: responder.fetch(request.names).map(codec.encodeDocument) }),
        identify: () => ({ incarnation: responder.self }),
    };
}

function decode(documents: readonly messages.Document[], journal: event.Journal): readonly types.Document[] {
    return documents.flatMap(message => {
        const outcome = codec.decodeDocument(message);
        if (outcome.ok) {
            return [outcome.value];
        }
        journal.emit("document-refused", { document: message.name, reason: outcome.failure.detail });
        return [];
    });
}
