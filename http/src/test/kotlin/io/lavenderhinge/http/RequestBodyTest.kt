package io.lavenderhinge.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled

class RequestBodyTest :
    FunSpec({
        fun RequestBody.append(text: String) = append(Unpooled.copiedBuffer(text.toByteArray()))

        test("given several parts, then the body is whole") {
            val body = RequestBody()
            listOf("ab", "", "cde").forEach { body.append(it) }

            body.sizeBytes shouldBe 5
            String(body.take()) shouldBe "abcde"
        }

        // Guards against idle connections that hold the body of their last request.
        test("given a body that was taken, then nothing of it is held") {
            val body = RequestBody()
            body.append("ab")
            body.take()

            body.sizeBytes shouldBe 0
            body.take().size shouldBe 0
        }
    })
