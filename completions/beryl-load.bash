# bash completion for beryl-load
_beryl_load () {
  local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
  local options='--check-answers --csv --duration --engine --entry --help
    --json --load --note --seed --token'
  case $prev in
    --duration | --engine | --entry | --load | --note | --seed | --token) ;;
    --csv | --json) COMPREPLY=($(compgen -f -- "$cur")) ;;
    *)
      case $cur in
        -*) COMPREPLY=($(compgen -W "$options" -- "$cur")) ;;
        *) COMPREPLY=($(compgen -W 'report' -- "$cur")
             $(compgen -f -- "$cur")) ;;
      esac ;;
  esac
}
complete -F _beryl_load beryl-load
