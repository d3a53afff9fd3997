/** The operator's configuration of the scripts, in the form of the users' pages. */
final class Config {

	private Config() {
	}

	static String text(int version) {
		return """
				{"version":%d,"routes":[
				{"name":"book","host":"desk.example","path-prefix":"/book/","type":"non_idempotent","timeout-ms":800,"goal-ms":100,"priority":2,"service":"desk","max-attempts":1,"anonymous":false,"resumable":false},
				{"name":"file","host":"desk.example","path-prefix":"/file/","type":"non_idempotent","timeout-ms":15000,"goal-ms":2000,"priority":2,"service":"desk","max-attempts":1,"anonymous":false,"resumable":false},
				{"name":"look","host":"desk.example","path-prefix":"/look/","type":"idempotent","timeout-ms":800,"goal-ms":100,"priority":2,"service":"desk","max-attempts":2,"anonymous":false,"resumable":false},
				{"name":"chat","host":"desk.example","path-prefix":"/chat/","type":"streaming","timeout-ms":15000,"goal-ms":910,"priority":2,"service":"pool","max-attempts":1,"anonymous":false,"sticky":true,"resumable":false,"itl-target-ms":300}],
				"services":[{"name":"desk","health-path":"/healthz","max-conns":300,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0},
				{"name":"pool","health-path":"/healthz","max-conns":300,"protocol":"h1","tls":false,"cold-s":3.0,"cold-per-s":11.0,"engine":{"slots":64,"kv-capacity":300000}}],
				"tenants":[{"name":"packer","api-keys":["key-1"],"priority":1}],
				"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}"""
			.formatted(version);
	}

}
