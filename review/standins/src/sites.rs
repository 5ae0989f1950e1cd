//! The settings of two deployments, as the pages state them.

use crate::world::Site;
use serde_json::json;

/// east-campus: two halls, two dispatchers, ten nodes; probes are allowed.
pub fn east_campus() -> Site {
    let settings = json!({
        "callers": {"marks-retry": true},
        "classes": [
            {"deadline-us": 6_000_000, "dedup-scope": "all", "effect": "pure", "gain": 1.0, "late-share": 0.2, "memory-span-us": 5_000_000,
             "name": "quote-worker", "on-time-us": 600_000, "runs-on": true},
            {"deadline-us": 9_000_000, "dedup-scope": "zone", "effect": "token", "gain": 5.0, "late-share": 0.1, "memory-span-us": 6_000_000,
             "name": "lane-reprice", "on-time-us": 5_000_000, "runs-on": true}],
        "counted-by": "work", "discovery": "on_request",
        "family-info": {"accepts-memory": 1.5, "ack": "accepted", "admit-cores": 2.0, "bound": false, "class-calm": [1.0, 0.8],
            "class-most": [2, 2], "class-start-s": [10.0, 8.0], "counts": "used", "evict-counts": 2.0, "fade-span": [1.0, 0.15],
            "kind-cores": [33, 60], "kind-memory": [62.0, 89.0], "makes-room": true, "mean-memory": 3.1, "needs-kind": [-1, -1],
            "priority-by-class": [0, 2], "report-x0": "cores of the machine that are not in use",
            "report-x1": "memory units of the machine that are not in use", "settle-us": 3_000_000,
            "share-cores": [173.0, 165.0, 51.0, 34.0], "spread-by": ["silent", "silent"], "tells-pressure": true,
            "turned-down-price": 0.02, "unit-cores": 1.76, "use-notes": true, "view": true, "young-limit": 29.0},
        "fleet-size": 2,
        "goal": {"whole": 0.4, "worst-class": 0.2, "worst-tenant": 0.3, "worst-window": 0.1},
        "limits": {"cancel": true, "connect-timeout-us": 250_000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 500_000,
            "idle-close-us": 15_000_000, "max-attempts": 3, "max-retry-after-us": 3_000_000, "multiplex": 32,
            "open-cap": 1_000_000, "parallel-tries": false, "peers": false, "probes": true, "retry-after": false},
        "load-report": {"fields": ["x0", "x1"], "how": "piggyback"},
        "locality": 0, "me": 0, "over-share-worth": 0.05,
        "penalties": {"connection": 0.0, "cross-zone": 0.03, "discovery": 0.004, "fleet": 0.25, "moves": 0.063, "probe": 0.0026, "waste": 0.08},
        "period-us": 2_000,
        "rules": {"answer-slack-us": 8_000, "ask-every-us": 10_000_000, "cold-us": 14_000_000, "fall-multiple": 2.5,
            "fall-us": 1_000_000, "start-capacity": 0.2, "stop-sending-within-us": 1_000_000},
        "service-type": "place", "skus": ["std-node", "big-node"],
        "tenants": [
            {"name": "ganga-agro", "quota-per-s": 11.0, "share": 0.41}, {"name": "teesta-retail", "quota-per-s": 10.0, "share": 0.39},
            {"name": "rupnarayan-steel", "quota-per-s": 3.0, "share": 0.12}, {"name": "padma-pharma-logistics", "quota-per-s": 2.0, "share": 0.08}],
        "tier": 0, "tiers": ["rate-fleet"], "weights": "silent", "zones": ["hall-north", "hall-south"]});
    Site {
        settings,
        zones: vec!["hall-north", "hall-south"],
        kinds: vec!["std-node", "big-node"],
        nodes: 10,
        dispatchers: 2,
        tenant: Some("ganga-agro"),
        class: "quote-worker",
        wait_ms: 6_000,
        lists_view: true,
        reports: true,
    }
}

/// centro-dados-sede: three rooms, three dispatchers, nine nodes; no probes and no load reports.
pub fn centro_dados_sede() -> Site {
    let settings = json!({
        "callers": {"marks-retry": false},
        "classes": [
            {"deadline-us": 6_000_000, "dedup-scope": "all", "effect": "pure", "gain": 3.0, "late-share": 0.1, "memory-span-us": 5_000_000,
             "name": "leitura-sensores", "on-time-us": 600_000, "runs-on": true},
            {"deadline-us": 9_000_000, "dedup-scope": "zone", "effect": "token", "gain": 9.0, "late-share": 0.2, "memory-span-us": 5_000_000,
             "name": "simulacao-rede", "on-time-us": 5_000_000, "runs-on": true}],
        "counted-by": "work", "discovery": "on_request",
        "family-info": {"accepts-memory": 1.5, "ack": "accepted", "admit-cores": 2.0, "bound": false, "class-calm": [1.0, 0.8],
            "class-most": [4, 4], "class-start-s": [12.0, 8.0], "counts": "used", "evict-counts": 2.0, "fade-span": [1.0, 0.2],
            "kind-cores": [28, 56], "kind-memory": [80.0, 150.0], "makes-room": true, "mean-memory": 2.0, "needs-kind": [-1, -1],
            "priority-by-class": [0, 1], "settle-us": 3_000_000, "share-cores": [], "spread-by": ["zone", "silent"],
            "tells-pressure": true, "turned-down-price": 0.02, "unit-cores": 0.7, "use-notes": true, "view": false, "young-limit": 29.0},
        "fleet-size": 3,
        "goal": {"whole": 0.5, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.3},
        "limits": {"cancel": true, "connect-timeout-us": 250_000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 500_000,
            "idle-close-us": 30_000_000, "max-attempts": 3, "max-retry-after-us": 3_000_000, "multiplex": 100,
            "open-cap": 1_000_000, "parallel-tries": false, "peers": false, "probes": false, "retry-after": false},
        "load-report": {"fields": [], "how": "silent"},
        "locality": 0, "me": 0, "over-share-worth": 0.1,
        "penalties": {"connection": 0.0, "cross-zone": 0.03, "discovery": 0.004, "moves": 0.08, "probe": 0.0, "waste": 0.08},
        "period-us": 2_000,
        "rules": {"answer-slack-us": 8_000, "ask-every-us": 10_000_000, "cold-us": 15_000_000, "fall-multiple": 4.0,
            "fall-us": 3_000_000, "start-capacity": 0.17, "stop-sending-within-us": 2_000_000},
        "service-type": "place", "skus": ["node-medio", "node-grande"], "tenants": [],
        "tier": 0, "tiers": ["frota-calculo"], "weights": "silent", "zones": ["sala-a", "sala-b", "sala-c"]});
    Site {
        settings,
        zones: vec!["sala-a", "sala-b", "sala-c"],
        kinds: vec!["node-medio", "node-grande"],
        nodes: 9,
        dispatchers: 3,
        tenant: None,
        class: "leitura-sensores",
        wait_ms: 6_000,
        lists_view: false,
        reports: false,
    }
}
