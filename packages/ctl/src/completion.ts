import { keywords } from '@peridotspring/language';

/** Shells that there is a completion for. */
export const completionShells = ['bash', 'zsh'] as const;
export type CompletionShell = (typeof completionShells)[number];

/** What can be completed. */
export interface CompletionWords {
  readonly commands: readonly string[];
  readonly flags: readonly string[];
}

function completionFunction({ commands, flags }: CompletionWords): string {
  return `_peridotctl() {
  local current="\${COMP_WORDS[COMP_CWORD]}"
  local previous="\${COMP_WORDS[COMP_CWORD-1]}"
  local words="${commands.join(' ')}"
  local word
  for word in "\${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$word" in
      query|watch) words="${keywords.join(' ')}" ;;
      drain|restore) words="server zone" ;;
      completion) words="${completionShells.join(' ')}" ;;
    esac
  done
  case "$previous" in
    --output) words="table json" ;;
    -f|--file|--secret-file)
      COMPREPLY=($(compgen -f -- "$current"))
      return
      ;;
  esac
  case "$current" in
    -*) words="${flags.join(' ')}" ;;
  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
}
complete -F _peridotctl peridotctl
`;
}

/** The completion script of a shell. Zsh runs the bash function through bashcompinit. */
export function completionScript(shell: CompletionShell, words: CompletionWords): string {
  const script = completionFunction(words);
  return shell === 'bash' ? script : `autoload -U +X bashcompinit && bashcompinit\n${script}`;
}
