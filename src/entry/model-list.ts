/** Body of `GET /v1/models`. */
import type * as manifest from "../manifest/types.js";

const OWNER = "ibisstep";

export function modelList(configuration: manifest.Configuration) {
    const data = [...configuration.models.values()].flatMap(model => [
        { id: model.name, object: "model", created: 0, owned_by: OWNER },
        ...model.adapters.map(adapter => ({
            id: `${model.name}:${adapter}`,
            object: "model",
            created: 0,
            owned_by: OWNER,
        })),
    ]);
    return { object: "list", data };
}
