package io.lavenderhinge.instance.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.lavenderhinge.core.quarantine.QuarantineChange
import io.lavenderhinge.core.quarantine.RequestDigest
import io.lavenderhinge.core.quarantine.SuspectKey

/** Guards against a status page that shows requests as prompt parts. */
class QuarantineLogTest :
    FunSpec({
        val part = SuspectKey.ofPart("s", "bad")
        val request = SuspectKey.ofRequest("s", RequestDigest(null, "GET", "/", ByteArray(0)))

        fun hash(key: SuspectKey) = key.hash.toULong().toString(radix = 16)

        test("given a part and a request, then each is listed as what it is until its release") {
            val log = QuarantineLog()

            log.onChange(QuarantineChange.Quarantined(part, emptyList()))
            log.onChange(QuarantineChange.Quarantined(request, emptyList()))

            log.parts shouldContainExactly listOf(hash(part))
            log.requests shouldContainExactly listOf(hash(request))

            log.onChange(QuarantineChange.Released(request))

            log.requests.shouldBeEmpty()
        }
    })
