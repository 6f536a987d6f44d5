package io.lavenderhinge.instance.settings

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.lavenderhinge.core.settings.SettingsDigest
import io.lavenderhinge.core.settings.TeamRevisions
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

class SettingsDigestCodecTest :
    FunSpec({
        listOf(
                SettingsDigest.Summary(ULong.MAX_VALUE, true, persistentMapOf("t" to 7L), false),
                SettingsDigest.Summary(0uL, complete = false, persistentMapOf(), reply = false),
                SettingsDigest.Buckets(persistentListOf(0uL, 5uL, ULong.MAX_VALUE)),
                SettingsDigest.Details(persistentSetOf(3), persistentMapOf()),
                SettingsDigest.Details(
                    persistentSetOf(3, 60),
                    persistentMapOf("t" to TeamRevisions(7, 9), "9u" to TeamRevisions(0, 1)),
                ),
            )
            .forEach { digest ->
                test("given $digest, when encoded and decoded, then it is the same") {
                    SettingsDigestCodec.decode(
                        SettingsDigestCodec.encode(digest),
                        replyWanted = true,
                    ) shouldBe digest
                }
            }

        test("given a notice without revisions, when decoded, then there is no settings digest") {
            SettingsDigestCodec.decode(emptyList(), replyWanted = false) shouldBe null
        }
    })
