package io.lavenderhinge.core.quarantine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.ServerRun
import kotlin.random.Random

private const val TEN_MINUTES_MILLIS = 600_000L
private const val MAX_LIST = 16

class RequestQuarantineTest :
    FunSpec({
        fun run(number: Int) = ServerRun("s$number", startedMillis = 1)

        fun quarantine() = RequestQuarantine(Random(1))

        fun content(vararg partIds: String) = RequestContent(partIds.toList())

        fun RequestQuarantine.crash(number: Int, vararg partIds: String, nowMillis: Long = 1_000) =
            onCrash(run(number), "model", RequestContent(partIds.toList()), nowMillis)

        fun RequestQuarantine.answer(vararg partIds: String, nowMillis: Long = 1_000) =
            onAnswered("model", RequestContent(partIds.toList()), nowMillis)

        fun RequestQuarantine.blocks(vararg partIds: String, nowMillis: Long = 2_000): Boolean {
            val decision =
                decide(
                    "model",
                    RequestContent(partIds.toList()),
                    hasLostServer = false,
                    peerCount = 0,
                    nowMillis,
                )
            return decision is QuarantineDecision.Quarantined
        }

        /** Lets three servers end with [partId] in flight while other prompts are answered. */
        fun RequestQuarantine.crashThree(partId: String) {
            answer("app", "sound", "own", nowMillis = 900)
            repeat(3) { crash(it, "app", partId, "own$it") }
        }

        test("given three servers that end under one part, then that part is quarantined") {
            val quarantine = quarantine()

            quarantine.crashThree("bad")

            quarantine.blocks("app", "bad", "x") shouldBe true
            quarantine.blocks("app", "sound", "x") shouldBe false
        }

        test("given two servers that end under one part, then only repeats are refused") {
            val quarantine = quarantine()
            quarantine.answer("app", "sound", "own", nowMillis = 900)
            repeat(2) { quarantine.crash(it, "app", "bad", "own$it") }

            quarantine.blocks("app", "bad", "x") shouldBe false
            quarantine.decide("model", content("app", "bad", "x"), true, 0, 2_000) shouldBe
                QuarantineDecision.Suspected(CrashSuspect.Part("bad"))
        }

        fun repeated(name: String, vararg partIds: String) =
            RequestContent(
                partIds.toList(),
                RequestDigest("caller", "POST", "/path", name.encodeToByteArray()),
            )

        fun RequestQuarantine.isAdmitted(content: RequestContent) =
            decide("model", content, hasLostServer = false, peerCount = 0, nowMillis = 2_000) is
                QuarantineDecision.Admit

        // Guards against one request that crashes server after server and names no prompt parts.
        test("given a request without parts under which three servers end, then it is refused") {
            val quarantine = quarantine()
            quarantine.onAnswered("model", repeated("sound"), nowMillis = 900)

            repeat(3) { quarantine.onCrash(run(it), "model", repeated("bad"), nowMillis = 1_000) }

            quarantine.isAdmitted(repeated("bad")) shouldBe false
            quarantine.isAdmitted(repeated("other")) shouldBe true
        }

        // Guards against requests that are kept away for a session they share with a crashing one.
        test("given a request under which servers end, then its parts are admitted") {
            val quarantine = quarantine()
            quarantine.answer("app", "sound", "own", nowMillis = 900)

            repeat(5) {
                quarantine.onCrash(
                    run(it),
                    "model",
                    repeated("bad", "app", "session", "own"),
                    1_000,
                )
            }

            quarantine.isAdmitted(repeated("bad", "app", "session", "own")) shouldBe false
            quarantine.isAdmitted(repeated("other", "app", "session", "x")) shouldBe true
        }

        // Guards against a crashing part that hides behind the first request which has it.
        test("given another request that crashes a server, then their common part is refused") {
            val quarantine = quarantine()
            quarantine.answer("app", "sound", "own", nowMillis = 900)
            repeat(3) {
                quarantine.onCrash(run(it), "model", repeated("first", "app", "bad", "own"), 1_000)
            }
            quarantine.isAdmitted(repeated("third", "app", "bad", "x")) shouldBe true

            quarantine.onCrash(run(3), "model", repeated("second", "app", "bad", "y"), 1_100)

            quarantine.isAdmitted(repeated("third", "app", "bad", "x")) shouldBe false
        }

        test("given another service, then its prompts with the part are admitted") {
            val quarantine = quarantine()
            quarantine.crashThree("bad")

            quarantine.decide("other", content("bad", "x"), false, 0, 2_000) shouldBe
                QuarantineDecision.Admit
        }

        // Guards against parts that many requests share, since some are in flight in every crash.
        test("given all servers ending at once, then parts that were answered are admitted") {
            val quarantine = quarantine()
            quarantine.answer("app", "sound", "own", nowMillis = 900)

            repeat(20) { quarantine.crash(it, "app", "sound", "own$it") }

            quarantine.blocks("app", "sound", "x") shouldBe false
        }

        // Guards against a service that fails for all prompts and then gets none of them.
        test("given a service that answers nothing, then no part is quarantined") {
            val quarantine = quarantine()

            repeat(20) { quarantine.crash(it, "app", "part", "own$it") }

            quarantine.blocks("app", "part", "x") shouldBe false
        }

        // Guards against parts of sound requests that lose servers to a crashing one.
        test("given crashes that a quarantined part explains, then other parts are admitted") {
            val quarantine = quarantine()
            quarantine.answer("app", "sound", "own", nowMillis = 900)
            repeat(6) {
                quarantine.crash(it, "app", "session", "own$it")
                quarantine.crash(it, "app", "bad", "own$it")
                if (it < 2) quarantine.crash(it + 10, "app", "bad", "own$it")
            }

            quarantine.blocks("app", "bad", "x") shouldBe true
            quarantine.blocks("app", "session", "x") shouldBe false
        }

        test("given a part at the end of its prompts, then it is not suspected") {
            val quarantine = quarantine()
            quarantine.answer("app", "sound", "own", nowMillis = 900)

            repeat(5) { quarantine.crash(it, "app", "last") }

            quarantine.blocks("app", "last", "x") shouldBe false
        }

        // Guards against parts that instances refuse after a common start, before any answer.
        test("given an answer soon after three crashes, then the part is never quarantined") {
            val quarantine = quarantine()
            val changes = mutableListOf<QuarantineChange>()
            quarantine.onChange = { changes += it }
            quarantine.crashThree("shared")
            quarantine.blocks("app", "shared", "x", nowMillis = 1_020) shouldBe false

            quarantine.answer("app", "shared", "own", nowMillis = 1_050)

            quarantine.blocks("app", "shared", "x") shouldBe false
            changes.shouldBeEmpty()
        }

        test("given a complete answer, then its parts are released") {
            val quarantine = quarantine()
            quarantine.crashThree("bad")

            quarantine.answer("app", "bad", "own", nowMillis = 1_500)

            quarantine.blocks("app", "bad", "x") shouldBe false
        }

        // Guards against connections that are reset at servers which live on.
        test("given servers that respond after all, then the part is released") {
            val quarantine = quarantine()
            quarantine.crashThree("bad")

            quarantine.onActivity(run(0), sentMillis = 1_100, nowMillis = 1_400)

            quarantine.blocks("app", "bad", "x") shouldBe false
        }

        test("given a response of a server that restarted under its id, then the crash counts") {
            val quarantine = quarantine()
            quarantine.crashThree("bad")

            quarantine.onActivity(run(0), sentMillis = 4_000, nowMillis = 4_100)

            quarantine.blocks("app", "bad", "x", nowMillis = 4_200) shouldBe true
        }

        // Guards against instances of which each sees too few of the crashes.
        test("given crashes seen by three instances, then all of them quarantine the part") {
            val instances = List(3) { quarantine() }
            instances.forEachIndexed { index, instance ->
                instance.answer("app", "sound", "own", nowMillis = 900)
                instance.crash(index, "app", "bad", "own$index")
            }

            val reports = instances.map { it.report(nowMillis = 1_100).shouldNotBeNull() }
            instances.forEach { instance ->
                reports.forEach { instance.onPeerReport(it, nowMillis = 1_120) }
            }

            instances.forEach { it.blocks("app", "bad", "x") shouldBe true }
        }

        test("given an instance that has just started, then it follows its peers") {
            val quarantine = quarantine().apply { crashThree("bad") }
            val started = quarantine()

            started.onPeerReport(quarantine.report(nowMillis = 1_300).shouldNotBeNull(), 1_320)

            started.blocks("app", "bad", "x") shouldBe true
        }

        test("given a part that one instance has seen answered, then its peers release it") {
            val quarantine = quarantine().apply { crashThree("rare") }
            val witness = quarantine().apply { answer("app", "rare", "own", nowMillis = 950) }

            witness.onPeerReport(quarantine.report(nowMillis = 1_300).shouldNotBeNull(), 1_320)
            quarantine.onPeerReport(witness.report(nowMillis = 1_340).shouldNotBeNull(), 1_360)

            quarantine.blocks("app", "rare", "x") shouldBe false
        }

        // Guards against reports that grow with the trouble or with the fleet.
        test("given many crashes with many parts, then the report is bounded") {
            val quarantine = quarantine()
            quarantine.answer("app", "sound", "own", nowMillis = 900)
            repeat(500) { number ->
                val parts = Array(40) { "p${number * 7 + it}" }
                quarantine.crash(number, *parts)
                quarantine.onActivity(run(number), sentMillis = 1_000, nowMillis = 1_200)
                quarantine.crash(number + 1_000, *parts)
            }

            val report = quarantine.report(nowMillis = 1_300).shouldNotBeNull()

            report.crashes.size shouldBeLessThanOrEqual MAX_LIST
            report.crashes.maxOf { it.suspects.size } shouldBeLessThanOrEqual MAX_LIST
            report.quarantined.size shouldBeLessThanOrEqual MAX_LIST
            report.answered.size shouldBeLessThanOrEqual MAX_LIST
            report.alive shouldHaveSize MAX_LIST
        }

        test("given nothing to report, then there is no report") {
            val quarantine = quarantine().apply { answer("app", "sound", "own") }

            quarantine.report(nowMillis = 1_000) shouldBe null
        }

        // Guards against a part that stays away for ever although its fault has been mended.
        test("given ten minutes without a crash, then one request is admitted as a trial") {
            val quarantine = quarantine()
            quarantine.crashThree("bad")
            quarantine.blocks("app", "bad", "x", nowMillis = 1_300) shouldBe true
            val laterMillis = 1_300 + TEN_MINUTES_MILLIS

            val blocked =
                (0 until 10).map { quarantine.blocks("bad", "x", nowMillis = laterMillis + it) }

            blocked shouldBe listOf(false) + List(9) { true }
        }

        test("given an old crash, then it is forgotten") {
            val quarantine = quarantine()
            quarantine.crash(0, "app", "part", "own")

            quarantine.report(nowMillis = 2_000 + TEN_MINUTES_MILLIS)

            quarantine.isIdle shouldBe true
            listOfNotNull(quarantine.report(3_000 + TEN_MINUTES_MILLIS)).shouldBeEmpty()
        }
    })
