package io.lavenderhinge.core.forwarding

/** An answer during a rollout that is compared with the speed of the old version. */
internal class UnjudgedAnswer(
    val route: String,
    /** True if the target version of the rollout gave it. */
    val isTarget: Boolean,
    /** True if its server had finished warming up. */
    val isWarm: Boolean,
    val firstEventMillis: Double,
)

/**
 * Answers that arrive before an instance knows how fast the old version answers. Counting them as
 * fast would be evidence in favour of a slow version. Holds the latest [MAX_ANSWERS].
 */
internal class UnjudgedAnswers {
    private val answers = ArrayDeque<UnjudgedAnswer>()

    fun add(answer: UnjudgedAnswer) {
        if (answers.size == MAX_ANSWERS) answers.removeFirst()
        answers.addLast(answer)
    }

    /** Removes the answers for which [isJudged] returns true. */
    fun removeIf(isJudged: (UnjudgedAnswer) -> Boolean) {
        answers.removeAll(isJudged)
    }

    private companion object {
        const val MAX_ANSWERS = 512
    }
}
