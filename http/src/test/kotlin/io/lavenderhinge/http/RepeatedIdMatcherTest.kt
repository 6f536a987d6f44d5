package io.lavenderhinge.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.lavenderhinge.http.ResponseOwner.OTHER_REQUEST
import io.lavenderhinge.http.ResponseOwner.PRESENT_REQUEST
import io.lavenderhinge.http.ResponseOwner.PRESENT_REQUEST_ONLY
import io.netty.handler.codec.http.DefaultHttpHeaders

private const val ID_FIELD = "Id"

/** Guards against a response that is attributed to a request which it does not belong to. */
class RepeatedIdMatcherTest :
    FunSpec({
        data class Case(
            val name: String,
            val owner: ResponseOwner,
            val statedId: String? = null,
            val status: Int = 200,
            val isFirst: Boolean = false,
        )

        context("given a response, then its owner is known") {
            withData(
                nameFn = { it.name },
                Case("own id", PRESENT_REQUEST, statedId = "own"),
                Case("own id, first", PRESENT_REQUEST, statedId = "own", isFirst = true),
                Case("own id, refusal", PRESENT_REQUEST_ONLY, statedId = "own", status = 429),
                Case("other id", OTHER_REQUEST, statedId = "other"),
                Case("other id, first", OTHER_REQUEST, statedId = "other", isFirst = true),
                Case("other id, error", OTHER_REQUEST, statedId = "other", status = 503),
                Case("no id", OTHER_REQUEST),
                Case("no id, first", PRESENT_REQUEST_ONLY, isFirst = true),
                Case("no id, error", PRESENT_REQUEST_ONLY, status = 500),
            ) { case ->
                val headers = DefaultHttpHeaders()
                case.statedId?.let { headers.set(ID_FIELD, it) }
                val head = ResponseHead(case.status, headers, case.isFirst)

                RepeatedIdMatcher(ID_FIELD, "own").ownerOf(head) shouldBe case.owner
            }
        }
    })
