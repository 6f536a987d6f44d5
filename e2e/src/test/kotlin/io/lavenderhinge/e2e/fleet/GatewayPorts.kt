package io.lavenderhinge.e2e.fleet

/** Ports on which a gateway process listens. */
class GatewayPorts {
    val caller = freePort()
    val ready = freePort()
    val peer = freePort()
    val operator = freePort()

    /**
     * Renders the settings file of the gateway [id] that uses the metadata store at [storePort].
     */
    fun renderSettings(id: String, storePort: Int, gracePeriod: String = "8s"): String =
        """
        [instance]
        id = $id
        failure-domain = d
        region = r
        [listen]
        caller = 127.0.0.1:$caller
        ready = 127.0.0.1:$ready
        peer = 127.0.0.1:$peer
        operator = 127.0.0.1:$operator
        [platform]
        store = 127.0.0.1:$storePort
        [bounds]
        grace-period = $gracePeriod
        """
            .trimIndent()
}
