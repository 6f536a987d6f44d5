package io.lavenderhinge.core.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

/** Guards against requests that are taken for repetitions of others. */
class RequestDigestTest :
    FunSpec({
        fun digest(
            caller: String? = "caller",
            method: String = "POST",
            target: String = "/path",
            body: ByteArray = "body".encodeToByteArray(),
        ) = RequestDigest(caller, method, target, body).value

        test("given the same request again, then the digests are equal") {
            digest() shouldBe digest()
        }

        test("given another caller, method, target or body, then the digests differ") {
            digest(caller = null) shouldNotBe digest()
            digest(method = "PUT") shouldNotBe digest()
            digest(target = "/path?q=1") shouldNotBe digest()
            digest(body = ByteArray(0)) shouldNotBe digest()
        }

        test("given text that moves between two fields, then the digests differ") {
            digest(method = "POST/", target = "path") shouldNotBe digest()
        }

        test("given long bodies that differ at the end, then the digests differ") {
            val body = ByteArray(1_000_000)
            val other = body.copyOf().also { it[it.size - 1] = 1 }

            digest(body = other) shouldNotBe digest(body = body)
        }
    })
