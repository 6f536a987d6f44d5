package io.lavenderhinge.instance.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class ReadinessGateTest :
    FunSpec({
        // Guards against a starting instance that sends to a domain before it has read the request
        // to evacuate it.
        test("given a configuration and servers, then the gate opens with the evacuations") {
            val gate = ReadinessGate()
            gate.onConfigurationAvailable()
            gate.onServersAvailable()
            gate.isOpen shouldBe false

            gate.onEvacuationsKnown()

            gate.isOpen shouldBe true
        }
    })
